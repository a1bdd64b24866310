package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** One model server in trouble sends bytes without end in the bodies of its answers, until the caller closes. */
public final class EndlessBytes {
    private static final int TIMEOUT_MS = 600;
    private static final int CALLERS = 10;
    private static final int STREAMS = 4;
    private static final int EVENTS = 20;

    /** How fast the server in trouble sends, over all its connections; 32 of the 1,000 Mbit/s of a machine's link. */
    private static final int BYTES_PER_MS = 4_000;

    private static final AtomicInteger CALLS = new AtomicInteger();
    private static final AtomicInteger AT_TIMEOUT = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger GARBAGE = new AtomicInteger();
    private static volatile boolean inTrouble;
    private static volatile boolean isOver;
    private static final Object PACE = new Object();
    private static long sentUntil;

    public static void main(String[] args) throws Exception {
        Bench.main(args, EndlessBytes::run);
    }

    /** A sound server of the desk. */
    private static boolean desk(Bench bench, Http.Message request, OutputStream out, String id) throws Exception {
        String attempt = String.valueOf(request.header("X-Oriolespindle-Attempt-Id"));
        bench.note(id + " runs " + attempt);
        Thread.sleep(20);
        Http.write(out, "HTTP/1.1 200 OK", ("done " + attempt).getBytes(), "X-Oriolespindle-Attempt-Id", attempt,
            "X-Oriolespindle-Server-Signature", id + "." + attempt);
        return true;
    }

    /** A model server; the faulty one sends blank lines without end after its second event while it is in trouble. */
    private static boolean writer(Bench bench, Http.Message request, OutputStream out, String id, boolean isFaulty)
        throws Exception {
        String attempt = String.valueOf(request.header("X-Oriolespindle-Attempt-Id"));
        String after = request.header("Last-Event-Id");
        bench.note(id + " runs " + attempt + " after event " + after);
        Http.write(out, "HTTP/1.1 200 OK", null, "X-Oriolespindle-Attempt-Id", attempt,
            "X-Oriolespindle-Server-Signature", id + "." + attempt, "Content-Type", "text/event-stream",
            "Transfer-Encoding", "chunked");
        for (int n = after == null ? 1 : Integer.parseInt(after) + 1; n <= EVENTS; n++) {
            if (isFaulty && inTrouble && n >= 3) garbage(bench, out, id, attempt);
            Thread.sleep(40);
            chunk(out, ("id: " + n + "\ndata: " + attempt + " " + n + "\n\n").getBytes());
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        return true;
    }

    private static void garbage(Bench bench, OutputStream out, String id, String attempt) throws Exception {
        GARBAGE.incrementAndGet();
        bench.log(id + " sends blank lines without end in its answer to " + attempt);
        byte[] blank = new byte[4_000];
        Arrays.fill(blank, (byte) '\n');
        long sent = 0;
        long from = Bench.millis();
        try {
            while (true) {
                pace(blank.length);
                chunk(out, blank);
                sent += blank.length;
            }
        } catch (IOException e) {
            bench.log("the caller of " + attempt + " has closed after " + (Bench.millis() - from) + " ms and " + sent + " bytes");
            throw e;
        }
    }

    /** Waits until the server's share of its link has room for [bytes]. */
    private static void pace(int bytes) throws InterruptedException {
        long wait;
        synchronized (PACE) {
            sentUntil = Math.max(sentUntil, Bench.millis()) + Math.max(1, bytes / BYTES_PER_MS);
            wait = sentUntil - Bench.millis();
        }
        if (wait > 0) Thread.sleep(wait);
    }

    private static void chunk(OutputStream out, byte[] bytes) throws IOException {
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
        out.write(bytes);
        out.write("\r\n".getBytes());
        out.flush();
    }

    /** Sends one call after another to the desk, and waits 2 s for each answer. */
    private static void call(Bench bench, Bench.Instance relay, int caller) {
        for (int n = 0; !isOver; ) {
            try (Http.Connection c = new Http.Connection(relay.callers, 2000)) {
                while (!isOver) {
                    String id = "call-" + caller + "-" + n++;
                    long at = Bench.millis();
                    String answer;
                    try {
                        Http.Message m = c.call("POST /deduct/x HTTP/1.1", new byte[100], "Host", "desk.example",
                            "X-Oriolespindle-Attempt-Id", id, "X-Oriolespindle-Deadline-Ms", "2000", "Authorization", "Bearer key-1");
                        answer = m == null ? "closed" : "" + m.status();
                    } catch (IOException e) {
                        answer = "no answer";
                    }
                    long took = Bench.millis() - at;
                    CALLS.incrementAndGet();
                    bench.note(id + ", sent " + took + " ms ago: " + answer);
                    if (took > TIMEOUT_MS) {
                        AT_TIMEOUT.incrementAndGet();
                        if (took > TIMEOUT_MS + 500) LATE.incrementAndGet();
                        bench.log(id + ": " + answer + " after " + took + " ms");
                    }
                    if (!answer.matches("\\d+")) break;
                    Thread.sleep(100);
                }
            } catch (Exception e) {
                bench.log("caller " + caller + " cannot connect: " + e.getMessage());
                sleep(500);
            }
        }
    }

    private static void stream(Bench bench, Bench.Instance relay, int caller) {
        for (int n = 0; !isOver; n++) {
            try (Http.Connection c = new Http.Connection(relay.callers, 2000)) {
                String id = "draft-" + caller + "-" + n;
                // The consumer reads what comes, and leaves after 20 s.
                Http.write(c.out, "POST /draft/x HTTP/1.1", new byte[100], "Host", "desk.example",
                    "X-Oriolespindle-Attempt-Id", id, "X-Oriolespindle-Deadline-Ms", "20000", "Authorization", "Bearer key-1",
                    "Connection", "close");
                byte[] buffer = new byte[65536];
                long end = Bench.millis() + 20_000;
                while (Bench.millis() < end && c.in.read(buffer) >= 0) { }
            } catch (Exception e) {
                sleep(200);
            }
            sleep(100);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String run(Bench bench) throws Exception {
        Map<String, Object> draft = Bench.route("/draft/", "streaming", 20000);
        draft.put("resumable", true);
        draft.put("service", "writer");
        Map<String, Object> configuration = Bench.configuration(1, 15000, Bench.route("/deduct/", "unsafe", TIMEOUT_MS), draft);
        List<Object> services = new ArrayList<>((List<?>) configuration.get("services"));
        services.add(Json.of("name", "writer", "health_path", "/health", "max_conns", 96, "protocol", "h1", "tls", false));
        configuration.put("services", services);
        bench.store.put("config", "main", configuration);
        long born = System.currentTimeMillis();
        for (String id : new String[] {"desk-1", "desk-2"}) {
            Http.Listener l = new Http.Listener((r, o, s) -> desk(bench, r, o, id));
            bench.store.put("servers", id, Bench.entry(l.address, "a", "ready", born, 1));
        }
        for (String id : new String[] {"writer-1", "writer-2", "writer-3"}) {
            boolean isFaulty = id.equals("writer-1");
            Http.Listener l = new Http.Listener((r, o, s) -> writer(bench, r, o, id, isFaulty));
            Map<String, Object> entry = Bench.entry(l.address, isFaulty ? "a" : "b", "ready", born, 1);
            entry.put("service", "writer");
            entry.put("slots", 134);
            bench.store.put("servers", id, entry);
        }
        Bench.Instance relay = bench.new Instance("front-a-1", "a").awaitReady();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            Http.daemon(() -> call(bench, relay, number));
        }
        for (int caller = 0; caller < STREAMS; caller++) {
            int number = caller;
            Http.daemon(() -> stream(bench, relay, number));
        }
        Thread.sleep(5000);
        int before = CALLS.get();
        if (before < 100) throw new Bench.CannotRun("only " + before + " calls in 5 s without trouble");
        if (bench.trouble) bench.log("writer-1 is in trouble from now on");
        inTrouble = bench.trouble;
        for (int n = 0; n < 20; n++) {
            Thread.sleep(1000);
            long at = Bench.millis();
            String ready;
            try (Http.Connection c = new Http.Connection(relay.readiness, 1000)) {
                ready = "" + c.call("GET /ready HTTP/1.1", null, "Host", "x").status();
            } catch (IOException e) {
                ready = "no answer";
            }
            if (!ready.equals("200")) bench.log("GET /ready: " + ready + " after " + (Bench.millis() - at) + " ms");
        }
        isOver = true;
        Thread.sleep(2500);
        bench.log(CALLS + " calls to the desk, " + before + " of them before; " + GARBAGE + " answers without end");
        bench.log("calls unanswered at timeout_ms: " + AT_TIMEOUT + "; of these, unanswered half a second later: " + LATE);
        relay.logLines(20, "WARN");
        if (bench.trouble && GARBAGE.get() == 0) throw new Bench.CannotRun("writer-1 got no request while it was in trouble");
        if (LATE.get() >= 8 && LATE.get() * 2 > AT_TIMEOUT.get()) {
            return "CONFIG: " + LATE + " of " + AT_TIMEOUT + " calls that were unanswered at timeout_ms had no answer 0.5 s later";
        }
        return null;
    }
}
