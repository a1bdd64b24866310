package review;

import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that has asked for a pause loses its path to the store for a few seconds. */
public final class PauseForgotten {
    private static final long PAUSE_S = 30;
    private static final long BEAT_MS = 1200;
    private static final long WORK_MS = 20;
    private static final int CALLERS = 8;
    private static final long CUT_MS = 5000;
    private static volatile boolean isOver;

    /** A server with its own path to the store; it writes there each heartbeat unless it is cut off. */
    private static final class Server {
        final String id;
        final String zone;
        final Bench bench;
        final long born = System.currentTimeMillis();
        final Http.Listener listener;
        volatile boolean isCut;
        volatile boolean isFull;
        volatile long pausedFrom;
        volatile int inPause;
        volatile int served;
        private volatile long lastBeat;

        Server(Bench bench, String id, String zone) throws Exception {
            this.bench = bench;
            this.id = id;
            this.zone = zone;
            listener = new Http.Listener(this::handle);
            beat(0);
            Http.daemon(this::beats);
        }

        private void beat(long n) {
            bench.store.put("servers", id, Bench.entry(listener.address, zone, "ready", born, n));
            lastBeat = Bench.millis();
        }

        private void beats() {
            boolean registered = true;
            for (long n = 1; ; ) {
                try {
                    Thread.sleep(100);
                } catch (InterruptedException e) {
                    return;
                }
                long silence = Bench.millis() - lastBeat;
                if (!isCut && silence >= BEAT_MS) {
                    beat(n++);
                    if (!registered) bench.log("store: the entry of " + id + " is back, unchanged but for its sequence");
                    registered = true;
                } else if (registered && silence > 3 * BEAT_MS) {
                    bench.store.remove("servers", id);
                    registered = false;
                    bench.log("store: the entry of " + id + " is removed after three intervals of silence");
                }
            }
        }

        private boolean handle(Http.Message request, OutputStream out, java.net.Socket socket) throws Exception {
            String attempt = String.valueOf(request.header("X-Oriolespindle-Attempt-Id"));
            boolean isRefused;
            synchronized (this) {
                isRefused = isArrivalRefused(request, attempt);
            }
            if (isRefused) {
                Http.write(out, "HTTP/1.1 503 Service Unavailable", new byte[0], "X-Oriolespindle-Attempt-Id", attempt,
                    "X-Oriolespindle-Not-Executed", "1", "Retry-After", "" + PAUSE_S);
                return true;
            }
            Thread.sleep(WORK_MS);
            Http.write(out, "HTTP/1.1 200 OK", ("done " + attempt).getBytes(), "X-Oriolespindle-Attempt-Id", attempt,
                "X-Oriolespindle-Server-Signature", id + "." + attempt);
            return true;
        }

        /** Records the arrival of a request; returns whether this server is full at the moment. */
        private boolean isArrivalRefused(Http.Message request, String attempt) {
            long now = Bench.millis();
            if (pausedFrom > 0 && now > pausedFrom + 500 && now < pausedFrom + PAUSE_S * 1000) {
                inPause++;
                if (inPause <= 10) bench.log(id + " receives " + request.line + " " + attempt + ", " + (now - pausedFrom) + " ms into its pause");
            }
            if (isFull) {
                isFull = false;
                pausedFrom = now;
                bench.log(id + " answers 503 with Retry-After: " + PAUSE_S + " to " + attempt);
                return true;
            }
            served++;
            bench.note(id + " runs " + attempt);
            return false;
        }
    }

    public static void main(String[] args) throws Exception {
        Bench.main(args, PauseForgotten::run);
    }

    private static String run(Bench bench) throws Exception {
        bench.store.put("config", "main", Bench.configuration(1, 15000, Bench.route("/deduct/", "unsafe", 600)));
        Server first = new Server(bench, "i-1", "a");
        Server[] others = new Server[4];
        for (int i = 0; i < others.length; i++) others[i] = new Server(bench, "i-" + (i + 2), "b");
        Bench.Instance relay = bench.new Instance("front-a-1", "a").awaitReady();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            Http.daemon(() -> call(relay, number, answered, failed));
        }
        Thread.sleep(3000);
        first.isFull = true;
        bench.log("i-1 is full for a moment");
        Thread.sleep(3000);
        if (bench.trouble) {
            first.isCut = true;
            bench.log("i-1 is cut off from the store, and from nobody else, for " + CUT_MS + " ms");
        }
        Thread.sleep(CUT_MS);
        if (bench.trouble) {
            first.isCut = false;
            bench.log("i-1 reaches the store again");
        }
        Thread.sleep(22_000);
        isOver = true;
        Thread.sleep(1000);
        bench.log(answered + " requests answered 200, " + failed + " otherwise; i-1 served " + first.served);
        bench.log("requests that reached i-1 between 0.5 s and " + PAUSE_S + " s after its 503: " + first.inPause + " (two are allowed)");
        relay.logLines(20, "pause", "endpoint removed", "endpoint added");
        if (first.pausedFrom == 0) throw new Bench.CannotRun("i-1 never refused a request");
        return first.inPause > 2 ? "BUDGET: " + first.inPause + " requests reached i-1 in the pause that it asked for" : null;
    }

    private static void call(Bench.Instance relay, int number, AtomicInteger answered, AtomicInteger failed) {
        try (Http.Connection c = new Http.Connection(relay.callers, 5000)) {
            for (int n = 0; !isOver; n++) {
                Http.Message m = c.call("POST /deduct/x HTTP/1.1", new byte[100], "Host", "desk.example",
                    "X-Oriolespindle-Attempt-Id", "c-" + number + "-" + n, "X-Oriolespindle-Deadline-Ms", "600",
                    "Authorization", "Bearer key-1");
                if (m == null) return;
                (m.status() == 200 ? answered : failed).incrementAndGet();
                Thread.sleep(50);
            }
        } catch (Exception e) {
            failed.incrementAndGet();
        }
    }
}
