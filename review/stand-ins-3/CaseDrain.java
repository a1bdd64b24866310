import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server begins to drain after the store has come back from a copy; no request may reach it after drain_ms. */
public final class CaseDrain implements Cases.Case {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABLE_MILLIS = 3_000;

    private record Arrival(String server, String attempt, long at) {}

    @Override
    public boolean run(Cases.Setup setup) throws Exception {
        Record record = setup.record;
        Store store = new Store("127.0.0.1");
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        store.put("config", "main",
            Cases.configuration(7, List.of(Cases.route("charge", "/charge/", "unsafe", "desk", 1)),
                List.of(Cases.service("desk"))));
        Instances instances = new Instances(setup.root, setup.logs, store.address(), Instances.bounds());
        Instances.Instance first = instances.start("a");
        Instances.Instance second = instances.start("b");
        List<PlainServer> servers = new ArrayList<>();
        for (String zone : List.of("a", "b", "a")) {
            PlainServer server =
                new PlainServer(store, "127.0.0.1", "i-00" + (servers.size() + 1), "desk", zone, 6, 40, 6_000,
                    (at, request, hasRun) -> {
                        Arrival arrival =
                            new Arrival(at.id, request.header("X-Oriolespindle-Attempt-Id"), Record.now());
                        arrivals.add(arrival);
                        record.line("server: %s got %s, %s", arrival.server, arrival.attempt, hasRun ? "runs it" : "refuses it");
                    });
            servers.add(server);
            server.start();
        }
        Thread.sleep(300);
        Object copy = store.copy();
        long copiedAt = Record.now();
        record.line("store: revision %d is copied", store.revision());
        instances.awaitReady(20_000);
        // The servers warm up, so that their entries change with each check-in.
        while (Record.now() < copiedAt + 5_000) {
            Cases.request(record, first, "POST", "/charge/1", 1_500, Cases.newAttempt());
            Cases.request(record, second, "POST", "/charge/1", 1_500, Cases.newAttempt());
            Thread.sleep(500);
        }
        if (setup.trouble) {
            record.line("store: away at revision %d", store.revision());
            store.goAway();
            Thread.sleep(1_000);
            store.comeBack(copy);
            record.line("store: back from the copy, which is %d ms old, at revision %d", Record.now() - copiedAt, store.revision());
        } else {
            Thread.sleep(1_000);
        }
        long calmSince = Record.now();
        while (Record.now() < calmSince + STABLE_MILLIS + 1_500) {
            Cases.request(record, first, "POST", "/charge/1", 1_500, Cases.newAttempt());
            Cases.request(record, second, "POST", "/charge/1", 1_500, Cases.newAttempt());
            Thread.sleep(500);
        }
        // One server after the other, as in a release; no request is on its way meanwhile.
        PlainServer leaving = servers.get(0);
        long revision = leaving.drain();
        long ackedAt = Record.now();
        record.line("store: %s is draining, revision %d", leaving.id, revision);
        while (Record.now() < ackedAt + DRAIN_MILLIS + 500) Thread.sleep(10);
        long from = Record.now();
        record.line("callers: 24 requests, drain_ms is over since %d ms", from - ackedAt - DRAIN_MILLIS);
        Cases.burst(24, i -> Cases.request(record, i % 2 == 0 ? first : second, "POST", "/charge/2", 1_500, Cases.newAttempt()));
        Thread.sleep(500);
        leaving.end();
        record.line("server: %s has ended", leaving.id);
        int late = 0;
        for (Arrival arrival : arrivals) {
            if (arrival.server.equals(leaving.id) && arrival.at >= from) late++;
        }
        record.line("requests that reached %s later than drain_ms after the ack: %d", leaving.id, late);
        instances.close();
        return late == 0;
    }
}
