import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server asks for a rest of 75 s; it must get no more than two requests from a machine until the rest is over. */
public final class CaseLongRest implements Cases.Case {
    private static final long REST_MILLIS = 75_000;
    private static final long SLACK_MILLIS = 500;

    @Override
    public boolean run(Cases.Setup setup) throws Exception {
        Record record = setup.record;
        Store store = new Store("127.0.0.1");
        List<Long> arrivals = new CopyOnWriteArrayList<>();
        store.put("config", "main",
            Cases.configuration(7, List.of(Cases.route("charge", "/charge/", "unsafe", "desk", 2)),
                List.of(Cases.service("desk"))));
        Instances instances = new Instances(setup.root, setup.logs, store.address(), Instances.bounds());
        Instances.Instance instance = instances.start("a");
        RestingServer resting = new RestingServer(store, "i-001", 6, (at, request, hasRun) -> {
            arrivals.add(Record.now());
            record.count(at.id + (hasRun ? " runs" : " refuses"));
        });
        RestingServer other = new RestingServer(store, "i-002", 6, (at, request, hasRun) ->
            record.count(at.id + (hasRun ? " runs" : " refuses")));
        resting.start();
        other.start();
        instances.awaitReady(20_000);
        Thread.sleep(4_000);
        List<Thread> callers = new ArrayList<>();
        long end = Record.now() + REST_MILLIS + 6_000;
        for (int i = 0; i < 16; i++) {
            callers.add(Http.start(() -> {
                while (Record.now() < end) {
                    Cases.quietRequest(record, instance, "POST", "/charge/1", 1_500, Cases.newAttempt());
                    Cases.sleep(60);
                }
            }));
        }
        Thread.sleep(1_500);
        long from = Record.now();
        if (setup.trouble) {
            resting.restsUntil = Record.now() + REST_MILLIS;
            record.line("server: i-001 wants rest until %d", resting.restsUntil);
        }
        for (Thread caller : callers) caller.join();
        record.writeCounts();
        long firstRefusal = Long.MAX_VALUE;
        int late = 0;
        for (long arrival : arrivals) {
            if (arrival < from) continue;
            firstRefusal = Math.min(firstRefusal, arrival + RestingServer.REFUSAL_MILLIS);
            if (arrival > firstRefusal + SLACK_MILLIS && arrival < resting.restsUntil) {
                late++;
                record.line("late: i-001 got a request at %d", arrival);
            }
        }
        record.line("requests from half a second after its first 503 until %d: %d", resting.restsUntil, late);
        instances.close();
        return late <= 2;
    }
}
