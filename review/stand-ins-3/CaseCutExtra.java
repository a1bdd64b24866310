import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some servers send an extra answer after a few of their answers, late and cut off inside its head. A request that may
 * run once must not run again because of it.
 */
public final class CaseCutExtra implements Cases.Case {
    private static final int SERVERS = 5;
    private static final int FAULTY = 3;
    private static final int CALLERS = 12;
    private static final int SPOILED_IN_HUNDRED = 3;
    private static final long TROUBLE_MILLIS = 5_000;

    /** The beginning of the answer with which a server sheds a request. */
    private static final String CUT_EXTRA = "HTTP/1.1 503 Service Unavailable\r\nX-Oriolespindle-Not-Executed: 1";

    private final Map<String, String> runs = new ConcurrentHashMap<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger extras = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger again = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger extrasSent = new AtomicInteger();
    private final AtomicInteger shed = new AtomicInteger();
    private volatile boolean inTrouble;
    private Record record;

    private final class Desk extends PlainServer {
        private final boolean isFaulty;
        /** The connections on which an extra answer follows where the next answer is expected. */
        private final Map<Http.Connection, Boolean> spoiled = new ConcurrentHashMap<>();

        Desk(Store store, int number) throws IOException {
            super(store, "127.0.0.1", "i-00" + number, "desk", "a", 6, 40, 0, (a, b, c) -> { });
            isFaulty = number <= FAULTY;
        }

        @Override
        void answer(Http.Message request, Http.Connection connection, Map<String, String> headers, byte[] body)
            throws Exception {
            String attempt = request.header("X-Oriolespindle-Attempt-Id");
            String before = runs.putIfAbsent(attempt, id);
            if (before != null) {
                again.incrementAndGet();
                record.line("server: %s has run %s, which %s has run before: TWICE", id, attempt, before);
            }
            if (spoiled.remove(connection) != null) {
                extrasSent.incrementAndGet();
                record.line("server: %s sends a cut extra answer, then its 200 to %s", id, attempt);
                connection.out.write(CUT_EXTRA.getBytes(StandardCharsets.ISO_8859_1));
                connection.out.flush();
            }
            connection.answer(200, headers, body);
            if (inTrouble && isFaulty && mayBeSpoiled()) spoiled.put(connection, true);
        }

        @Override
        void refuse(Http.Message request, Http.Connection connection, Map<String, String> headers) throws Exception {
            shed.incrementAndGet();
            super.refuse(request, connection, headers);
        }

        /** Counts an answer; returns whether it is one of the [SPOILED_IN_HUNDRED]. */
        private boolean mayBeSpoiled() {
            synchronized (answers) {
                boolean isSpoiled = answers.incrementAndGet() * SPOILED_IN_HUNDRED / 100 > extras.get();
                if (isSpoiled) extras.incrementAndGet();
                return isSpoiled;
            }
        }
    }

    @Override
    public boolean run(Cases.Setup setup) throws Exception {
        record = setup.record;
        Store store = new Store("127.0.0.1");
        store.put("config", "main",
            Cases.configuration(7, List.of(Cases.route("deduct", "/deduct/", "unsafe", "desk", 2)),
                List.of(Cases.service("desk"))));
        for (int i = 1; i <= SERVERS; i++) new Desk(store, i).start();
        Instances instances = new Instances(setup.root, setup.logs, store.address(), Instances.bounds());
        Instances.Instance instance = instances.start("a");
        instances.awaitReady(20_000);
        Thread.sleep(4_000);
        long end = Record.now() + TROUBLE_MILLIS + 3_000;
        for (int i = 0; i < CALLERS; i++) {
            Http.start(() -> {
                while (Record.now() < end) {
                    ask(instance);
                    Cases.sleep(20);
                }
            });
        }
        Thread.sleep(1_500);
        inTrouble = setup.trouble;
        record.line("servers: trouble %s", inTrouble);
        Thread.sleep(TROUBLE_MILLIS);
        inTrouble = false;
        record.line("servers: no more extra answers; %d after %d answers of the servers in trouble in these %d ms", extras.get(), answers.get(), TROUBLE_MILLIS);
        Thread.sleep(4_000);
        record.writeCounts();
        record.line("cut extra answers sent: %d; requests that servers refused: %d", extrasSent.get(), shed.get());
        record.line("requests sent: %d; run: %d; run twice: %d; answered 503 or 429 though they had run: %d", sent.get(), runs.size(), again.get(), refused.get());
        instances.close();
        return again.get() == 0;
    }

    private void ask(Instances.Instance instance) {
        String attempt = Cases.newAttempt();
        String head =
            "POST /deduct/1 HTTP/1.1\r\nHost: " + Cases.HOST + "\r\nX-Oriolespindle-Attempt-Id: " + attempt
                + "\r\nX-Oriolespindle-Deadline-Ms: 1500\r\nAuthorization: Bearer " + Cases.KEY
                + "\r\nContent-Length: 2\r\n\r\n";
        sent.incrementAndGet();
        record.count("sent");
        try {
            int status = Http.call(instance.callers, head, "{}".getBytes(StandardCharsets.UTF_8), 2_500).status();
            record.count("answered " + status);
            String ranAt = runs.get(attempt);
            if ((status == 503 || status == 429) && ranAt != null) {
                refused.incrementAndGet();
                record.line("caller: %s got %d, although %s had run it: REFUSED", attempt, status, ranAt);
            }
        } catch (IOException e) {
            record.line("caller: %s got no answer: %s", attempt, e);
        }
    }
}
