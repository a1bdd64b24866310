import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of prompts crashes each server that begins to write an answer on it. It stands behind 33 other parts that
 * sound requests have as well. Requests with it must not go on to reach servers.
 */
public final class CaseManyParts implements Cases.Case {
    private static final int SERVERS = 10;
    private static final int SHARED_PARTS = 33;
    private static final long DOWN_MILLIS = 4_500;
    private static final long STABLE_MILLIS = 3_000;
    private static final String BAD_PART = "91bd3f06";

    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private Record record;
    private Store store;

    /** A server whose answers are streams; it ends when it begins one for a prompt with the bad part. */
    private final class Writer extends PlainServer {
        private final int number;
        private final int lifetime;
        private boolean hasCrashed;

        Writer(int number, int lifetime) throws Exception {
            super(CaseManyParts.this.store, "127.0.0.1", "i-w" + number + "-" + lifetime, "writer", "a", 60, 0, 0, (a, b, c) -> { });
            this.number = number;
            this.lifetime = lifetime;
        }

        @Override
        void answer(Http.Message request, Http.Connection connection, Map<String, String> headers, byte[] body)
            throws Exception {
            String attempt = request.header("X-Oriolespindle-Attempt-Id");
            boolean isBad = request.header("X-Oriolespindle-Prompt-Prefix").contains(BAD_PART);
            if (isBad) arrivals.add(Record.now());
            record.line("server: %s runs %s%s", id, attempt, isBad ? ", which has the part" : "");
            Thread.sleep(40);
            if (isBad) {
                crash();
                throw new IOException("crashed");
            }
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            write(connection, head + "\r\n");
            for (int event = 1; event <= 10; event++) {
                String text = "id: " + event + "\ndata: " + attempt + "/" + event + "\n\n";
                write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                Thread.sleep(20);
            }
            write(connection, "0\r\n\r\n");
        }

        private void write(Http.Connection connection, String text) throws IOException {
            connection.out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            connection.out.flush();
        }

        /** Ends; the entry goes after three check-ins in silence, and a new lifetime starts. */
        private synchronized void crash() {
            if (hasCrashed) return;
            hasCrashed = true;
            crashes.add(Record.now());
            record.line("server: %s crashes", id);
            reachesStore = false;
            listener.close();
            Http.start(() -> {
                Cases.sleep(DOWN_MILLIS);
                end();
                try {
                    new Writer(number, lifetime + 1).start();
                } catch (Exception e) {
                    record.line("server: not started again: %s", e);
                }
            });
        }
    }

    @Override
    public boolean run(Cases.Setup setup) throws Exception {
        record = setup.record;
        store = new Store("127.0.0.1");
        Map<String, Object> route = Cases.route("draft", "/draft/", "streaming", "writer", 2);
        route.put("resumable", true);
        route.put("gap_aim_ms", 250L);
        route.put("target_latency_ms", 500L);
        store.put("config", "main", Cases.configuration(7, List.of(route), List.of(Cases.service("writer"))));
        for (int i = 1; i <= SERVERS; i++) new Writer(i, 1).start();
        Instances instances = new Instances(setup.root, setup.logs, store.address(), Instances.bounds());
        List<Instances.Instance> all = List.of(instances.start("a"), instances.start("a"));
        instances.awaitReady(20_000);
        Thread.sleep(4_000);
        long end = Record.now() + 45_000;
        AtomicInteger sound = new AtomicInteger();
        AtomicInteger begun = new AtomicInteger();
        StringBuilder shared = new StringBuilder();
        for (int i = 0; i < SHARED_PARTS; i++) shared.append(String.format("5c1e%04x:20,", i));
        int number = 0;
        long nextBad = Record.now() + 5_000;
        while (Record.now() < end) {
            Instances.Instance instance = all.get(number % 2);
            String own = String.format("e44%05x:50", number++);
            Http.start(() -> {
                sound.incrementAndGet();
                if (ask(instance, shared + own) == 200) begun.incrementAndGet();
            });
            if (setup.trouble && Record.now() >= nextBad) {
                nextBad += 700;
                String bad = BAD_PART + ":40," + String.format("e55%05x:50", number);
                Http.start(() -> ask(all.get((int) (Record.now() / 700 % 2)), shared + bad));
            }
            Thread.sleep(150);
        }
        Thread.sleep(1_500);
        long fifth = crashes.size() < 5 ? Long.MAX_VALUE : crashes.get(4);
        int late = 0;
        for (long arrival : arrivals) if (arrival > fifth + STABLE_MILLIS && fifth < Long.MAX_VALUE) late++;
        record.line("%d crashes, the fifth at %s; requests with the part at servers: %d, later than %d ms after it: %d", crashes.size(), fifth, arrivals.size(), STABLE_MILLIS, late);
        record.line("sound requests: %d, answered 200: %d", sound.get(), begun.get());
        instances.close();
        return late <= 3;
    }

    private int ask(Instances.Instance instance, String parts) {
        String headers =
            "X-Oriolespindle-Model: m\r\nX-Oriolespindle-Token-Usage: 760,80\r\nX-Oriolespindle-Prompt-Prefix: " + parts + "\r\n";
        return Cases.request(record, instance, "POST", "/draft/1", 10_000, Cases.newAttempt(), Cases.KEY, headers);
    }
}
