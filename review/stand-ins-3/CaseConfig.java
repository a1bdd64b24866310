import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The operator writes a configuration just after the store has come back from a copy. It takes away a key and a route
 * and adds a route; all instances must apply it.
 */
public final class CaseConfig implements Cases.Case {
    private static final int SERVERS = 12;
    /** A quarter of the servers, the largest share of scale_out in the site file. */
    private static final int ADDED = 3;
    private static final long COPY_AGE_MILLIS = 4_000;
    private static final long AWAY_MILLIS = 500;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long OUTER_MILLIS = 5_000;
    private static final long STABLE_MILLIS = 3_000;
    private static final String REVOKED_KEY = "k2k2k2k2k2";

    private static Object configuration(long version, boolean isNew) {
        List<Object> routes = new ArrayList<>();
        routes.add(Cases.route("charge", "/charge/", "unsafe", "desk", 1));
        routes.add(isNew ? Cases.route("new", "/new/", "safe", "desk", 2) : Cases.route("old", "/old/", "unsafe", "desk", 1));
        Map<String, Object> configuration =
            new LinkedHashMap<>(Cases.configuration(version, routes, List.of(Cases.service("desk"))));
        List<String> keys = isNew ? List.of(Cases.KEY) : List.of(Cases.KEY, REVOKED_KEY);
        configuration.put("tenants", List.of(Json.of("name", "team-a", "api_keys", keys, "priority", 1L)));
        return configuration;
    }

    @Override
    public boolean run(Cases.Setup setup) throws Exception {
        Record record = setup.record;
        Store store = new Store("127.0.0.1");
        Set<String> ran = ConcurrentHashMap.newKeySet();
        PlainServer.Observer observer = (at, request, hasRun) -> {
            String attempt = request.header("X-Oriolespindle-Attempt-Id");
            if (hasRun) ran.add(attempt);
            record.line("server: %s got %s, %s", at.id, attempt, hasRun ? "runs it" : "refuses it");
        };
        store.put("config", "main", configuration(7, false));
        for (int i = 1; i <= SERVERS; i++) new PlainServer(store, "127.0.0.1", "i-00" + i, "desk", "a", 6, 20, 0, observer).start();
        Instances instances = new Instances(setup.root, setup.logs, store.address(), Instances.bounds());
        List<Instances.Instance> all = new ArrayList<>();
        for (String zone : List.of("a", "b", "a")) all.add(instances.start(zone));
        instances.awaitReady(20_000);
        Thread.sleep(8_000);
        Object copy = store.copy();
        long copiedAt = Record.now();
        record.line("store: revision %d is copied", store.revision());
        while (Record.now() < copiedAt + COPY_AGE_MILLIS) {
            for (Instances.Instance instance : all) Cases.request(record, instance, "POST", "/charge/1", 1_500, Cases.newAttempt());
            Thread.sleep(500);
        }
        if (setup.trouble) {
            record.line("store: away at revision %d", store.revision());
            store.fallSilent();
            Thread.sleep(AWAY_MILLIS);
            store.speakAgain(copy);
            record.line("store: back from the copy, which is %d ms old, at revision %d", Record.now() - copiedAt, store.revision());
        } else {
            Thread.sleep(AWAY_MILLIS);
        }
        Thread.sleep(100);
        long revision = store.put("config", "main", configuration(8, true));
        long ackedAt = Record.now();
        record.line("store: version 8 is acknowledged, revision %d", revision);
        // Servers are added; the store goes on as usual.
        for (int i = SERVERS + 1; i <= SERVERS + ADDED; i++) {
            new PlainServer(store, "127.0.0.1", "i-00" + i, "desk", "a", 6, 20, 5_000, observer).start();
            Thread.sleep(50);
        }
        Thread.sleep(STABLE_MILLIS + OUTER_MILLIS + CONFIG_APPLY_MILLIS + 2_000);
        record.line("callers: requests, %d ms after the ack of version 8", Record.now() - ackedAt);
        int old = 0;
        for (int i = 0; i < 5; i++) {
            for (Instances.Instance instance : all) {
                old += check(record, ran, instance, "/charge/2", REVOKED_KEY, 401);
                old += check(record, ran, instance, "/old/2", Cases.KEY, 404);
                old += check(record, ran, instance, "/new/2", Cases.KEY, 200);
            }
        }
        record.line("requests that were handled as only version 7 allows: %d", old);
        instances.close();
        return old == 0;
    }

    /** Returns 1 if the request was handled as only the older version allows. */
    private static int check(
        Record record, Set<String> ran, Instances.Instance instance, String path, String key, int expected) {
        String attempt = Cases.newAttempt();
        int status = Cases.request(record, instance, "POST", path, 1_500, attempt, key);
        boolean isOld = expected == 200 ? status == 404 : ran.contains(attempt);
        if (isOld) record.line("old: %s of %s to %s, answered %d", attempt, instance.name, path, status);
        return isOld ? 1 : 0;
    }
}
