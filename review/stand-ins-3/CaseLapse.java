import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * The servers of a route that was added start in the seconds that the store loses when it comes back from a copy. They
 * write their entries again; the requests of the route must be served as before.
 */
public final class CaseLapse implements Cases.Case {
    private static final long STABLE_MILLIS = 3_000;
    private static final String[] PATHS = {"/charge/1", "/look/1"};

    private final AtomicIntegerArray asked = new AtomicIntegerArray(2);
    private final AtomicIntegerArray served = new AtomicIntegerArray(2);

    @Override
    public boolean run(Cases.Setup setup) throws Exception {
        Record record = setup.record;
        Store store = new Store("127.0.0.1");
        PlainServer.Observer observer = (at, request, hasRun) ->
            record.line("server: %s got %s, %s", at.id, request.header("X-Oriolespindle-Attempt-Id"), hasRun ? "runs it" : "refuses it");
        List<Object> routes = new ArrayList<>(List.of(Cases.route("charge", "/charge/", "unsafe", "desk", 2)));
        List<Object> services = new ArrayList<>(List.of(Cases.service("desk")));
        store.put("config", "main", Cases.configuration(7, routes, services));
        for (int i = 1; i <= 3; i++) new PlainServer(store, "127.0.0.1", "i-00" + i, "desk", "a", 6, 20, 0, observer).start();
        Instances instances = new Instances(setup.root, setup.logs, store.address(), Instances.bounds());
        List<Instances.Instance> all = List.of(instances.start("a"), instances.start("b"));
        instances.awaitReady(20_000);
        Thread.sleep(4_000);
        routes.add(Cases.route("look", "/look/", "unsafe", "shelf", 2));
        services.add(Cases.service("shelf"));
        store.put("config", "main", Cases.configuration(8, routes, services));
        Thread.sleep(1_000);
        Object copy = store.copy();
        long copiedAt = Record.now();
        record.line("store: revision %d is copied", store.revision());
        for (int i = 11; i <= 13; i++) new PlainServer(store, "127.0.0.1", "i-0" + i, "shelf", "a", 6, 20, 3_000, observer).start();
        Thread.sleep(1_500);
        while (Record.now() < copiedAt + 5_000) ask(record, all);
        record.line("before: first route %d of %d served, added route %d of %d served", served.get(0), asked.get(0), served.get(1), asked.get(1));
        if (setup.trouble) {
            record.line("store: away at revision %d", store.revision());
            store.goAway();
            Thread.sleep(1_000);
            store.comeBack(copy);
            record.line("store: back from the copy, which is %d ms old, at revision %d", Record.now() - copiedAt, store.revision());
        } else {
            Thread.sleep(1_000);
        }
        Thread.sleep(STABLE_MILLIS + 2_000);
        record.line("store: servers %s", store.names("servers"));
        for (int i = 0; i < 2; i++) {
            asked.set(i, 0);
            served.set(i, 0);
        }
        long end = Record.now() + 40_000;
        while (Record.now() < end) ask(record, all);
        double first = served.get(0) / (double) asked.get(0);
        double added = served.get(1) / (double) asked.get(1);
        record.line("after: first route %d of %d served, added route %d of %d served", served.get(0), asked.get(0), served.get(1), asked.get(1));
        instances.close();
        return asked.get(1) < 20 || added >= first / 4;
    }

    private void ask(Record record, List<Instances.Instance> all) {
        for (Instances.Instance instance : all) {
            for (int i = 0; i < PATHS.length; i++) {
                asked.incrementAndGet(i);
                if (Cases.request(record, instance, "POST", PATHS[i], 1_500, Cases.newAttempt()) == 200) served.incrementAndGet(i);
            }
        }
        Cases.sleep(400);
    }
}
