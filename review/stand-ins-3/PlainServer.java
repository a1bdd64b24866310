import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A server of a plain service, which registers in the store and checks in each 1,200 ms. */
class PlainServer {
    static final long HEARTBEAT_MILLIS = 1_200;

    interface Observer {
        void onArrival(PlainServer server, Http.Message request, boolean hasRun);
    }

    final String id;
    final String service;
    final String zone;
    final int slots;
    final long workMillis;
    final long born = System.currentTimeMillis();
    final Http.Listener listener;
    private final Store store;
    private final Observer observer;
    private final long startedAt = System.nanoTime();
    private final long warmupMillis;
    private int running;
    private volatile boolean ended;
    volatile boolean isDraining;
    /** Whether its check-ins reach the store. */
    volatile boolean reachesStore = true;
    /** When its last check-in reached the store. */
    private volatile long checkedInAt;

    PlainServer(
        Store store, String ip, String id, String service, String zone, int slots, long workMillis, long warmupMillis,
        Observer observer) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        this.warmupMillis = warmupMillis;
        this.observer = observer;
        listener = new Http.Listener(ip, this::handle);
    }

    /** Registers and goes on to check in; the entry changes when more than the count of check-ins does. */
    void start() {
        Http.start(() -> {
            while (!ended) {
                if (reachesStore) checkIn();
                else if (System.nanoTime() - checkedInAt > 3 * HEARTBEAT_MILLIS * 1_000_000) store.remove("servers", id);
                Cases.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    /** Returns the revision of the entry. */
    synchronized long checkIn() {
        checkedInAt = System.nanoTime();
        return store.put("servers", id, entry());
    }

    long drain() {
        isDraining = true;
        return checkIn();
    }

    void end() {
        ended = true;
        listener.close();
        store.remove("servers", id);
    }

    private Object entry() {
        long warm = Math.max(0, warmupMillis - (System.nanoTime() - startedAt) / 1_000_000);
        return Json.of("service", service, "address", listener.address(), "zone", zone, "version", "v1", "slots",
            (long) slots, "state", isDraining ? "draining" : "ready", "warmup_left_ms", warm, "sequence", 1L, "born",
            born);
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        String attempt = request.header("X-Oriolespindle-Attempt-Id");
        Map<String, String> headers = new LinkedHashMap<>();
        if (attempt != null) headers.put("X-Oriolespindle-Attempt-Id", attempt);
        if (isDraining) headers.put("Server-Leaving", "1");
        if (attempt == null) {
            headers.put("X-Oriolespindle-Instance-Id", id);
            connection.answer(isDraining ? 503 : 200, headers, new byte[0]);
            return;
        }
        String expected = request.header("X-Oriolespindle-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            headers.put("X-Oriolespindle-Instance-Id", id);
            headers.put("X-Oriolespindle-Not-Executed", "1");
            connection.answer(421, headers, new byte[0]);
            return;
        }
        boolean isTaken;
        synchronized (this) {
            isTaken = mayRun(request) && running < slots;
            if (isTaken) running++;
        }
        observer.onArrival(this, request, isTaken);
        if (!isTaken) {
            headers.put("X-Oriolespindle-Not-Executed", "1");
            refuse(request, connection, headers);
            return;
        }
        try {
            Thread.sleep(workMillis);
        } finally {
            synchronized (this) {
                running--;
            }
        }
        headers.put("X-Oriolespindle-Server-Signature", id + "." + attempt);
        answer(request, connection, headers, ("done " + attempt).getBytes(StandardCharsets.UTF_8));
    }

    /** Answers a request that has run. */
    void answer(Http.Message request, Http.Connection connection, Map<String, String> headers, byte[] body)
        throws Exception {
        connection.answer(200, headers, body);
    }

    boolean mayRun(Http.Message request) {
        return true;
    }

    void refuse(Http.Message request, Http.Connection connection, Map<String, String> headers) throws Exception {
        connection.answer(503, headers, new byte[0]);
    }
}
