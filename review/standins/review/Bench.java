package review;

import java.io.BufferedWriter;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What each case needs: the record, the project's processes, and the limits of a small deployment. */
final class Bench implements AutoCloseable {
    /** Ends a script that could not do what it is meant to do. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String reason) {
            super(reason);
        }
    }

    interface Script {
        /** Runs the case; returns how the rule was broken, or null if it held. */
        String run(Bench bench) throws Exception;
    }

    static final long START = System.nanoTime();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    private final BufferedWriter record;
    private final List<Process> processes = new ArrayList<>();
    private final List<Path> outputs = new ArrayList<>();

    private Bench(Path record) throws Exception {
        this.record = Files.newBufferedWriter(record);
        store = new Store();
    }

    /** Runs [script] and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    static void main(String[] args, Script script) throws Exception {
        int status = 2;
        Bench bench = new Bench(Path.of(args[0], "record.txt"));
        try (bench) {
            bench.log("TROUBLE=" + (bench.trouble ? 1 : 0));
            String broken = script.run(bench);
            bench.log(broken == null ? "RESULT: the rule held" : "RESULT: the rule was broken: " + broken);
            status = broken == null ? 0 : 1;
        } catch (Throwable e) {
            bench.log("RESULT: the case could not run: " + e);
        } finally {
            bench.close();
            bench.record.close();
        }
        Runtime.getRuntime().halt(status);
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void log(String text) {
        try {
            record.write(String.format("%7d ms  %s%n", millis(), text));
            record.flush();
            System.out.printf("%7d ms  %s%n", millis(), text);
        } catch (IOException e) {
            // The record is closed.
        }
    }

    /** Adds a line to the record only. */
    synchronized void note(String text) {
        try {
            record.write(String.format("%7d ms  %s%n", millis(), text));
        } catch (IOException e) {
            // The record is closed.
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static int freeDatagramPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** An instance of the product, started with the command of the deploy file. */
    final class Instance {
        final String name;
        final String callers;
        final String readiness;
        Process process;
        final Path output;
        private final List<String> command;

        Instance(String name, String zone) throws Exception {
            this.name = name;
            callers = "127.0.0.1:" + freePort();
            readiness = "127.0.0.1:" + freePort();
            output = Files.createTempFile("relay-" + name, ".log");
            outputs.add(output);
            Map<String, String> settings =
                Map.ofEntries(
                    Map.entry("node_name", name), Map.entry("zone", zone), Map.entry("listen.frontend", callers),
                    Map.entry("listen.readiness_addr", readiness), Map.entry("ip", "127.0.0.1"),
                    Map.entry("port_range.0", "" + freeDatagramPort()), Map.entry("provider.address", store.address),
                    Map.entry("bounds.stable_window_ms", "3000"), Map.entry("bounds.config_apply_ms", "2000"),
                    Map.entry("bounds.drain_ms", "2000"), Map.entry("bounds.grace_s", "8"),
                    Map.entry("limits.max_fds", "4200"), Map.entry("bounds.retry_ratio", "0.2"),
                    Map.entry("bounds.retry_burst", "196"), Map.entry("bounds.retry_window_s", "10"));
            String deploy = Files.readString(Path.of("deploy", "system.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!run.find()) throw new CannotRun("no run line in deploy/system.toml");
            String line = run.group(1);
            for (Map.Entry<String, String> e : settings.entrySet()) line = line.replace("{{" + e.getKey() + "}}", e.getValue());
            // Instances on one machine cannot share the fixed metrics port of the deploy file.
            line = line.replace("127.0.0.1:9180", "127.0.0.1:" + freePort());
            if (line.contains("{{")) throw new CannotRun("unfilled placeholder in " + line);
            command = new ArrayList<>(List.of(line.split(" ")));
            String javaHome = System.getProperty("java.home");
            command.set(0, javaHome + "/bin/java");
            start();
        }

        void start() throws Exception {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = builder.start();
            synchronized (processes) {
                processes.add(process);
            }
            log("instance " + name + " started, pid " + process.pid());
        }

        /** Waits until the instance reports that it is ready. */
        Instance awaitReady() throws Exception {
            for (int i = 0; i < 200; i++) {
                try (Http.Connection c = new Http.Connection(readiness, 1000)) {
                    if (c.call("GET /ready HTTP/1.1", null, "Host", "x").status() == 200) {
                        log("instance " + name + " is ready");
                        return this;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                Thread.sleep(100);
            }
            throw new CannotRun("instance " + name + " is not ready");
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).inheritIO().start().waitFor();
            log("signal " + signal + " to instance " + name);
        }

        /** Adds the lines of the instance's log that contain one of [words] to the record. */
        void logLines(int most, String... words) throws IOException {
            int count = 0;
            for (String line : Files.readAllLines(output)) {
                for (String word : words) {
                    if (line.contains(word) && count++ < most) {
                        log("  " + name + ": " + line);
                        break;
                    }
                }
            }
        }
    }

    @Override
    public void close() {
        synchronized (processes) {
            for (Process p : processes) {
                p.destroyForcibly();
                try {
                    p.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
            for (Path output : outputs) output.toFile().delete();
            outputs.clear();
        }
    }

    /** The configuration of a small deployment: a safe and an unsafe route to one plain service. */
    static Map<String, Object> configuration(long version, int idleMillis, Map<String, Object>... routes) {
        return Json.of(
            "version", version, "routes", List.of((Object[]) routes),
            "services", List.of(Json.of("name", "desk", "health_path", "/health", "max_conns", 96, "protocol", "h1", "tls", false)),
            "limits", Json.of("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000, "idle_timeout_ms", idleMillis),
            "tenants", List.of(Json.of("name", "shop", "api_keys", List.of("key-1"), "priority", 1)));
    }

    static Map<String, Object> route(String prefix, String kind, int timeoutMillis) {
        return Json.of(
            "name", "r-" + prefix.replace("/", ""), "host", "desk.example", "path_prefix", prefix, "kind", kind,
            "timeout_ms", timeoutMillis, "target_latency_ms", 150, "priority", 1, "service", "desk",
            "max_attempts", 2, "public", false);
    }

    static Map<String, Object> entry(String address, String zone, String state, long born, long sequence) {
        return Json.of(
            "service", "desk", "address", address, "zone", zone, "version", "v1", "slots", 6, "state", state,
            "warmup_left_ms", 0, "sequence", sequence, "born", born);
    }
}
