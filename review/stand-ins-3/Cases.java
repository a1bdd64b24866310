import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** What the cases share: the configuration, callers, and the entry point `Cases ROOT CASE_DIR CASE_CLASS`. */
final class Cases {
    static final String HOST = "desk.example";
    static final String KEY = "k1k1k1k1k1";

    private Cases() {}

    /** One case: returns whether the rule held. */
    interface Case {
        boolean run(Setup setup) throws Exception;
    }

    /** What a case works with. */
    static final class Setup {
        final Path root;
        final Path directory;
        final Path logs;
        final Record record;
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

        Setup(Path root, Path directory) throws IOException {
            this.root = root;
            this.directory = directory;
            record = new Record(directory.resolve("record.txt"));
            String kept = System.getenv("LOGS");
            logs = kept == null ? Files.createTempDirectory("review-3-") : Files.createDirectories(Path.of(kept));
        }
    }

    public static void main(String[] args) throws Exception {
        Setup setup = new Setup(Path.of(args[0]), Path.of(args[1]));
        int status = 2;
        Http.start(() -> {
            sleep(115_000);
            setup.record.line("the case took too long");
            Runtime.getRuntime().exit(2);
        });
        try {
            setup.record.line("trouble %s", setup.trouble);
            Case selected = (Case) Class.forName(args[2]).getDeclaredConstructor().newInstance();
            boolean held = selected.run(setup);
            setup.record.line(held ? "the rule held" : "THE RULE WAS BROKEN");
            status = held ? 0 : 1;
        } catch (Throwable e) {
            setup.record.line("the case could not run: %s", e);
            e.printStackTrace();
        }
        Runtime.getRuntime().exit(status);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A route of the configuration. */
    static Map<String, Object> route(String name, String prefix, String kind, String service, int attempts) {
        return Json.of("name", name, "host", HOST, "path_prefix", prefix, "kind", kind, "timeout_ms", 4000L,
            "target_latency_ms", 121L, "priority", 1L, "service", service, "max_attempts", (long) attempts, "public",
            false, "sticky", false, "resumable", false);
    }

    static Map<String, Object> service(String name) {
        return Json.of("name", name, "health_path", "/health", "max_conns", 96L, "protocol", "h1", "tls", false);
    }

    static Map<String, Object> configuration(long version, List<Object> routes, List<Object> services) {
        return Json.of("version", version, "routes", routes, "services", services, "limits",
            Json.of("max_header_bytes", 16384L, "max_body_bytes", 4194304L, "header_timeout_ms", 3000L,
                "idle_timeout_ms", 15000L),
            "tenants", List.of(Json.of("name", "team-a", "api_keys", List.of(KEY), "priority", 1L)));
    }

    private static final AtomicInteger LAST_ATTEMPT = new AtomicInteger();

    static String newAttempt() {
        return String.format("9c41d07b%08x", LAST_ATTEMPT.incrementAndGet());
    }

    /** Sends one request of a caller over a new connection; returns the status, or 0 without a complete answer. */
    static int request(
        Record record, Instances.Instance instance, String method, String path, int deadlineMillis, String attempt) {
        return request(record, instance, method, path, deadlineMillis, attempt, KEY);
    }

    static int request(
        Record record, Instances.Instance instance, String method, String path, int deadlineMillis, String attempt,
        String key) {
        return request(record, instance, method, path, deadlineMillis, attempt, key, "");
    }

    static int request(
        Record record, Instances.Instance instance, String method, String path, int deadlineMillis, String attempt,
        String key, String headers) {
        byte[] body = method.equals("GET") ? new byte[0] : "{}".getBytes(StandardCharsets.UTF_8);
        String head =
            method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Oriolespindle-Attempt-Id: " + attempt
                + "\r\nX-Oriolespindle-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + key
                + (headers.isEmpty() ? "" : "\r\n" + headers.strip())
                + (body.length > 0 ? "\r\nContent-Length: " + body.length : "") + "\r\n\r\n";
        long sentAt = Record.now();
        int status = 0;
        String detail = "";
        try {
            Http.Message answer = Http.call(instance.callers, head, body, deadlineMillis + 1000);
            status = answer.status();
            String leaving = answer.header("Server-Leaving");
            detail = leaving == null ? "" : " Server-Leaving " + leaving;
        } catch (IOException e) {
            detail = " " + e;
        }
        record.line("caller: %s %s of %s sent at %d, answered %d%s", method, attempt, instance.name, sentAt, status, detail);
        return status;
    }

    /** Like [request], with counts instead of a line in the record. */
    static int quietRequest(
        Record record, Instances.Instance instance, String method, String path, int deadlineMillis, String attempt) {
        String head =
            method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Oriolespindle-Attempt-Id: " + attempt
                + "\r\nX-Oriolespindle-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + KEY + "\r\n\r\n";
        int status = 0;
        record.count("sent to " + instance.name);
        try {
            status = Http.call(instance.callers, head, new byte[0], deadlineMillis + 1000).status();
        } catch (IOException ignored) {
        }
        record.count("answered " + status);
        return status;
    }

    /** Runs [count] requests at once and waits for all of them. */
    static List<Integer> burst(int count, java.util.function.IntFunction<Integer> request) throws Exception {
        List<Integer> answers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int number = i;
            threads.add(Http.start(() -> {
                int status = request.apply(number);
                synchronized (answers) {
                    answers.add(status);
                }
            }));
        }
        for (Thread thread : threads) thread.join();
        return answers;
    }
}
