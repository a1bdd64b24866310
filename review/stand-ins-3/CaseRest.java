import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server that has asked for rest (503 with Retry-After) is cut off from the store for a while; it must get no more
 * than two requests from a machine until the rest is over.
 */
public final class CaseRest implements Cases.Case {
    private static final long REST_MILLIS = 20_000;
    private static final long SLACK_MILLIS = 500;
    private static final long CUT_MILLIS = 5_000;

    private record Arrival(String server, long at) {}

    @Override
    public boolean run(Cases.Setup setup) throws Exception {
        Record record = setup.record;
        Store store = new Store("127.0.0.1");
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        store.put("config", "main",
            Cases.configuration(7, List.of(Cases.route("charge", "/charge/", "unsafe", "desk", 2)),
                List.of(Cases.service("desk"))));
        Instances instances = new Instances(setup.root, setup.logs, store.address(), Instances.bounds());
        Instances.Instance instance = instances.start("a");
        PlainServer.Observer observer = (at, request, hasRun) -> {
            arrivals.add(new Arrival(at.id, Record.now()));
            record.line("server: %s got %s, %s", at.id, request.header("X-Oriolespindle-Attempt-Id"),
                hasRun ? "runs it" : "refuses it");
        };
        RestingServer resting = new RestingServer(store, "i-001", 6, observer);
        RestingServer other = new RestingServer(store, "i-002", 6, observer);
        resting.start();
        other.start();
        instances.awaitReady(20_000);
        Thread.sleep(4_000);
        List<Thread> callers = new ArrayList<>();
        long end = Record.now() + REST_MILLIS + 4_000;
        for (int i = 0; i < 16; i++) {
            callers.add(Http.start(() -> {
                while (Record.now() < end) {
                    Cases.request(record, instance, "POST", "/charge/1", 1_500, Cases.newAttempt());
                    Cases.sleep(60);
                }
            }));
        }
        Thread.sleep(1_500);
        resting.restsUntil = Record.now() + REST_MILLIS;
        long from = Record.now();
        record.line("server: i-001 wants rest until %d", resting.restsUntil);
        Thread.sleep(1_500);
        if (setup.trouble) {
            resting.reachesStore = false;
            record.line("server: i-001 does not reach the store for %d ms", CUT_MILLIS);
            Thread.sleep(CUT_MILLIS);
            resting.reachesStore = true;
            resting.checkIn();
            record.line("server: i-001 reaches the store again, revision %d", store.revisionOf("servers", "i-001"));
        }
        for (Thread caller : callers) caller.join();
        long firstRefusal = Long.MAX_VALUE;
        int late = 0;
        for (Arrival arrival : arrivals) {
            if (!arrival.server.equals("i-001") || arrival.at < from) continue;
            firstRefusal = Math.min(firstRefusal, arrival.at + RestingServer.REFUSAL_MILLIS);
            if (arrival.at > firstRefusal + SLACK_MILLIS && arrival.at < resting.restsUntil) {
                late++;
                record.line("late: i-001 got a request at %d", arrival.at);
            }
        }
        record.line("first asked for rest at %d; requests from half a second later until %d: %d", firstRefusal, resting.restsUntil, late);
        instances.close();
        return late <= 2;
    }
}
