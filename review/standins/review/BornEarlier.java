package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;

/** A server starts again under its id after the time of day of its machine was set right, and later drains. */
public final class BornEarlier {
    private static final long DRAIN_MS = 2000;

    /** How long the server serves on after the store has accepted that it drains: `drain_ms` and a little longer. */
    private static final long SERVES_MS = DRAIN_MS + 560;
    private static final long STEP_MS = 2000;
    private static final int WORK_MS = 85;
    private static final int USERS = 6;
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static volatile boolean isDown;
    private static volatile long drainingSince;

    public static void main(String[] args) throws Exception {
        Bench.main(args, BornEarlier::run);
    }

    private static boolean first(Bench bench, Http.Message request, OutputStream out) throws Exception {
        if (isDown) return false;
        String attempt = String.valueOf(request.header("X-Oriolespindle-Attempt-Id"));
        SERVED.incrementAndGet();
        if (drainingSince > 0) {
            long since = Bench.millis() - drainingSince;
            bench.log("i-1 runs " + attempt + ", which reached it " + since + " ms after the store accepted that it drains");
            if (since > DRAIN_MS) LATE.incrementAndGet();
        }
        Thread.sleep(WORK_MS);
        if (isDown) {
            bench.log("i-1 has ended while it ran " + attempt);
            return false;
        }
        if (drainingSince == 0) return answer(out, "i-1", attempt);
        return answer(out, "i-1", attempt, "Server-Leaving", "1", "Connection", "close");
    }

    private static boolean answer(OutputStream out, String id, String attempt, String... more) throws Exception {
        String[] headers = new String[4 + more.length];
        headers[0] = "X-Oriolespindle-Attempt-Id";
        headers[1] = attempt;
        headers[2] = "X-Oriolespindle-Server-Signature";
        headers[3] = id + "." + attempt;
        System.arraycopy(more, 0, headers, 4, more.length);
        Http.write(out, "HTTP/1.1 200 OK", ("done " + attempt).getBytes(), headers);
        return more.length == 0;
    }

    private static boolean call(Bench bench, Bench.Instance relay, String id) {
        String answer;
        try (Http.Connection c = new Http.Connection(relay.callers, 5000)) {
            Http.Message m = c.call("POST /deduct/x HTTP/1.1", new byte[100], "Host", "desk.example",
                "X-Oriolespindle-Attempt-Id", id, "X-Oriolespindle-Deadline-Ms", "600", "Authorization", "Bearer key-1");
            answer = m == null ? "closed" : m.status() + " " + new String(m.body);
        } catch (IOException e) {
            answer = "no answer, " + e.getMessage();
        }
        bench.log(id + " was answered: " + answer);
        return answer.startsWith("200");
    }

    private static String run(Bench bench) throws Exception {
        bench.store.put("config", "main", Bench.configuration(1, 15000, Bench.route("/deduct/", "unsafe", 600)));
        Http.Listener first = new Http.Listener((r, o, s) -> first(bench, r, o));
        Http.Listener second =
            new Http.Listener((r, o, s) -> {
                String attempt = String.valueOf(r.header("X-Oriolespindle-Attempt-Id"));
                Thread.sleep(WORK_MS);
                return answer(o, "i-2", attempt);
            });
        bench.store.put("servers", "i-2", Bench.entry(second.address, "b", "ready", System.currentTimeMillis(), 1));
        Bench.Instance relay = bench.new Instance("front-a-1", "a").awaitReady();
        // The time of day of i-1's machine is ahead when it starts; it is right when i-1 starts again.
        long born = System.currentTimeMillis() + STEP_MS;
        long startedAt = Bench.millis();
        bench.store.put("servers", "i-1", Bench.entry(first.address, "a", "ready", born, 1));
        bench.log("i-1 has started");
        for (int n = 0; SERVED.get() == 0; n++) {
            if (Bench.millis() - startedAt > STEP_MS - 700) throw new Bench.CannotRun("i-1 was not used in time");
            call(bench, relay, "first-" + n);
            Thread.sleep(100);
        }
        isDown = true;
        bench.log("i-1 crashes");
        Thread.sleep(300);
        isDown = false;
        long bornAgain = bench.trouble ? System.currentTimeMillis() : System.currentTimeMillis() + STEP_MS;
        bench.store.put("servers", "i-1", Bench.entry(first.address, "a", "ready", bornAgain, 1));
        bench.log("i-1 has started again under its id and address; born differs by " + (bornAgain - born) + " ms");
        // A quiet hour: a call every 2.5 s.
        int answered = 0;
        for (int n = 0; n < 4; n++) {
            Thread.sleep(2500);
            if (call(bench, relay, "c-" + n)) answered++;
        }
        int servedBefore = SERVED.get();
        bench.store.put("servers", "i-1", Bench.entry(first.address, "a", "draining", bornAgain, 2));
        drainingSince = Bench.millis();
        bench.log("i-1 drains: the store has accepted its report; it has served " + servedBefore + " calls");
        Http.daemon(() -> {
            try {
                Thread.sleep(SERVES_MS);
                isDown = true;
                first.socket.close();
                bench.store.remove("servers", "i-1");
                bench.log("i-1 has ended, " + (Bench.millis() - drainingSince) + " ms after the store accepted that it drains");
            } catch (Exception e) {
                bench.log("i-1 cannot end: " + e);
            }
        });
        Thread.sleep(2500);
        Thread[] users = new Thread[USERS];
        for (int user = 0; user < USERS; user++) {
            String id = "late-" + user;
            users[user] = new Thread(() -> {
                if (!call(bench, relay, id)) LOST.incrementAndGet();
            });
            users[user].start();
        }
        for (Thread user : users) user.join();
        relay.logLines(20, "endpoints listed", "older registration", "endpoint leaves", "endpoint added", "endpoint removed");
        bench.log(LATE + " calls reached i-1 later than " + DRAIN_MS + " ms after its report; " + LOST + " of " + USERS + " got no success");
        if (answered < 3 || servedBefore == 0) throw new Bench.CannotRun("too few calls were served before");
        return LATE.get() > 0 ? "DRAIN: " + LATE + " calls reached i-1 later than drain_ms after its report was accepted" : null;
    }
}
