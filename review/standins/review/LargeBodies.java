package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Many users come at once, each with a body as long as the configuration allows, beside the usual small calls. */
public final class LargeBodies {
    private static final int TIMEOUT_MS = 600;
    private static final int CALLERS = 10;
    private static final int BODY_BYTES = 4_194_304;
    private static final int PIECES = 64;

    /** The time between two pieces of a body: about 9 Mbit/s for each user. */
    private static final int PIECE_MS = 60;

    private static final Map<String, Boolean> RAN = new ConcurrentHashMap<>();
    private static final AtomicInteger CALLS = new AtomicInteger();
    private static final AtomicInteger AT_TIMEOUT = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger UPLOADS = new AtomicInteger();
    private static final AtomicInteger STORED = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();
    private static volatile boolean isOver;
    private static volatile boolean comesUser;

    public static void main(String[] args) throws Exception {
        Bench.main(args, LargeBodies::run);
    }

    private static boolean desk(Bench bench, Http.Message request, OutputStream out, String id) throws Exception {
        String attempt = String.valueOf(request.header("X-Oriolespindle-Attempt-Id"));
        bench.note(id + " runs " + attempt + ", body of " + request.body.length + " bytes");
        RAN.put(attempt, true);
        Thread.sleep(20);
        Http.write(out, "HTTP/1.1 200 OK", ("done " + attempt).getBytes(), "X-Oriolespindle-Attempt-Id", attempt,
            "X-Oriolespindle-Server-Signature", id + "." + attempt);
        return true;
    }

    private static String[] headers(String id, String deadline) {
        return new String[] {"Host", "desk.example", "X-Oriolespindle-Attempt-Id", id,
            "X-Oriolespindle-Deadline-Ms", deadline, "Authorization", "Bearer key-1"};
    }

    /** Sends one small call after another to the desk, and waits 2 s for each answer. */
    private static void call(Bench bench, Bench.Instance relay, int caller) {
        for (int n = 0; !isOver; ) {
            try (Http.Connection c = new Http.Connection(relay.callers, 2000)) {
                while (!isOver) {
                    String id = "call-" + caller + "-" + n++;
                    long at = Bench.millis();
                    String answer;
                    try {
                        Http.Message m = c.call("POST /deduct/x HTTP/1.1", new byte[100], headers(id, "2000"));
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

    /** Sends one record with a long body, and comes back once if its connection was closed before it was read. */
    private static void upload(Bench bench, Bench.Instance relay, int user, byte[] body) {
        for (int n = 0; n < 2; n++) {
            String id = "record-" + user + "-" + n;
            UPLOADS.incrementAndGet();
            long at = Bench.millis();
            String answer;
            try (Http.Connection c = new Http.Connection(relay.callers, 20_000)) {
                String[] headers = Arrays.copyOf(headers(id, "20000"), 10);
                headers[8] = "Content-Length";
                headers[9] = "" + body.length;
                Http.write(c.out, "POST /record/x HTTP/1.1", null, headers);
                for (int p = 0; p < PIECES; p++) {
                    c.out.write(body, p * (body.length / PIECES), body.length / PIECES);
                    Thread.sleep(PIECE_MS);
                }
                Http.Message m = Http.read(c.in, true, false);
                answer = m == null ? "closed" : "" + m.status();
            } catch (Exception e) {
                answer = "no answer, " + e.getMessage();
            }
            boolean ran = RAN.containsKey(id);
            bench.log(id + ": " + answer + " after " + (Bench.millis() - at) + " ms, " + (ran ? "ran" : "did not run"));
            if (answer.equals("200")) STORED.incrementAndGet();
            if (answer.matches("\\d+")) return;
            if (ran) {
                CUT.incrementAndGet();
                return;
            }
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
        int users = Integer.getInteger("users", bench.trouble ? 32 : 4);
        bench.store.put("config", "main", Bench.configuration(1, 15000, Bench.route("/deduct/", "unsafe", TIMEOUT_MS),
            Bench.route("/record/", "unsafe", 20_000)));
        long born = System.currentTimeMillis();
        for (String id : new String[] {"desk-1", "desk-2", "desk-3"}) {
            Http.Listener l = new Http.Listener((r, o, s) -> desk(bench, r, o, id));
            bench.store.put("servers", id, Bench.entry(l.address, "a", "ready", born, 1));
        }
        Bench.Instance relay = bench.new Instance("front-a-1", "a").awaitReady();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            Http.daemon(() -> call(bench, relay, number));
        }
        Thread.sleep(5000);
        int before = CALLS.get();
        if (before < 100) throw new Bench.CannotRun("only " + before + " calls in 5 s before the users came");
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        bench.log(users + " users come at once, each with a body of " + BODY_BYTES + " bytes");
        Thread[] all = new Thread[users];
        for (int user = 0; user < users; user++) {
            int number = user;
            all[user] = new Thread(null, () -> upload(bench, relay, number, body), "user", 256 * 1024);
            all[user].setDaemon(true);
            all[user].start();
        }
        for (int n = 0; n < 25; n++) {
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
        for (Thread t : all) t.join(25_000);
        isOver = true;
        Thread.sleep(2500);
        bench.log(CALLS + " small calls, " + before + " of them before the users came");
        bench.log(UPLOADS + " long requests: " + STORED + " answered 200, " + CUT + " ran and got no answer");
        bench.log("small calls unanswered at timeout_ms: " + AT_TIMEOUT + "; of these, unanswered half a second later: " + LATE);
        relay.logLines(5, "OutOfMemory");
        if (LATE.get() >= 8 && LATE.get() * 2 > AT_TIMEOUT.get()) {
            return "CONFIG: " + LATE + " of " + AT_TIMEOUT + " calls that were unanswered at timeout_ms had no answer 0.5 s later";
        }
        return CUT.get() > 3 ? "LOST: " + CUT + " requests ran, and their connections ended without an answer" : null;
    }
}
