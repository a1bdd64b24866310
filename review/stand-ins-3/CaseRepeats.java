import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The store comes back from a copy that is older than the instances; later the servers are full for a while. All
 * instances together must stay within the budget of repeats.
 */
public final class CaseRepeats implements Cases.Case {
    private static final int INSTANCES = 5;
    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.2;
    private static final int BURST = 196;

    @Override
    public boolean run(Cases.Setup setup) throws Exception {
        Record record = setup.record;
        Store store = new Store("127.0.0.1");
        List<Long> repeats = new CopyOnWriteArrayList<>();
        List<Long> sent = new CopyOnWriteArrayList<>();
        Set<String> seen = ConcurrentHashMap.newKeySet();
        store.put("config", "main",
            Cases.configuration(7, List.of(Cases.route("look", "/look/", "safe", "desk", 2)),
                List.of(Cases.service("desk"))));
        for (int i = 1; i <= 3; i++) {
            PlainServer server = new PlainServer(store, "127.0.0.1", "i-00" + i, "desk", i % 2 == 0 ? "a" : "b", 6, 100, 0,
                (at, request, hasRun) -> {
                    record.count(at.id + (hasRun ? " runs" : " refuses"));
                    if (!seen.add(request.header("X-Oriolespindle-Attempt-Id"))) {
                        record.count("repeats");
                        repeats.add(Record.now());
                    }
                });
            server.start();
        }
        Thread.sleep(1_500);
        Object copy = store.copy();
        long copiedAt = Record.now();
        record.line("store: revision %d is copied", store.revision());
        Instances instances = new Instances(setup.root, setup.logs, store.address(), Instances.bounds());
        List<Instances.Instance> all = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) all.add(instances.start(i % 2 == 0 ? "a" : "b"));
        instances.awaitReady(20_000);
        while (Record.now() < copiedAt + 5_500) Thread.sleep(50);
        record.line("store: %s", store.names("oriolespindle-instance"));
        if (setup.trouble) {
            store.goAway();
            record.line("store: away at revision %d", store.revision());
            Thread.sleep(1_000);
            store.comeBack(copy);
            record.line("store: back from the copy, which is %d ms old, at revision %d", Record.now() - copiedAt, store.revision());
        } else {
            Thread.sleep(1_000);
        }
        Thread.sleep(20_000);
        record.line("store: %s", store.names("oriolespindle-instance"));
        long end = Record.now() + 24_000;
        List<Thread> callers = new ArrayList<>();
        int[] statuses = new int[600];
        for (int i = 0; i < 60; i++) {
            Instances.Instance instance = all.get(i % INSTANCES);
            callers.add(Http.start(() -> {
                while (Record.now() < end) {
                    sent.add(Record.now());
                    int status = Cases.quietRequest(record, instance, "GET", "/look/1", 1_500, Cases.newAttempt());
                    synchronized (statuses) {
                        statuses[status]++;
                    }
                    Cases.sleep(150);
                }
            }));
        }
        for (Thread caller : callers) caller.join();
        record.line("answers: %d of 200, %d of 503, %d others", statuses[200], statuses[503],
            Arrays.stream(statuses).sum() - statuses[200] - statuses[503]);
        boolean held = true;
        long[] from = repeats.stream().mapToLong(Long::longValue).sorted().toArray();
        double worst = -1e9;
        String text = "";
        for (long start : from) {
            long count = count(from, start, start + WINDOW_MILLIS);
            long[] requests = sent.stream().mapToLong(Long::longValue).toArray();
            long most = Math.max(count(requests, start, start + WINDOW_MILLIS),
                Math.max(count(requests, start - WINDOW_MILLIS, start), count(requests, start - WINDOW_MILLIS / 2, start + WINDOW_MILLIS / 2)));
            double over = count - (RATIO * most + BURST);
            if (over > worst) {
                worst = over;
                text = String.format("from %d: %d repeats for %d requests, %.0f allowed", start, count, most, RATIO * most + BURST);
            }
            held &= over <= 0;
        }
        record.writeCounts();
        record.line("worst window %s", text);
        instances.close();
        return held;
    }

    private static long count(long[] times, long from, long to) {
        return Arrays.stream(times).filter(t -> t >= from && t < to).count();
    }
}
