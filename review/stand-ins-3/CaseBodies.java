import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Two consumers send bodies of max_body_bytes for a while. Later the requests with bodies of 64 KB, on a route that was
 * added, must be served like those without a body on the first route.
 */
public final class CaseBodies implements Cases.Case {
    private static final int SERVERS = 12;
    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int USUAL_BODY_BYTES = 65_536;
    private static final long LARGE_MILLIS = 25_000;
    private static final long CALM_MILLIS = 6_000;

    private final AtomicIntegerArray asked = new AtomicIntegerArray(2);
    private final AtomicIntegerArray served = new AtomicIntegerArray(2);

    @Override
    public boolean run(Cases.Setup setup) throws Exception {
        Record record = setup.record;
        Store store = new Store("127.0.0.1");
        PlainServer.Observer observer = (at, request, hasRun) ->
            record.line("server: %s got %s, %d bytes, %s", at.id, request.header("X-Oriolespindle-Attempt-Id"), request.body.length,
                hasRun ? "runs it" : "refuses it");
        List<Object> routes = new ArrayList<>(List.of(Cases.route("look", "/look/", "safe", "desk", 2)));
        List<Object> services = List.of(Cases.service("desk"));
        store.put("config", "main", Cases.configuration(7, routes, services));
        for (int i = 11; i < 11 + SERVERS; i++) {
            new PlainServer(store, "127.0.0.1", "i-0" + i, "desk", "a", 6, 100, 0, observer).start();
        }
        Instances instances = new Instances(setup.root, setup.logs, store.address(), Instances.bounds());
        Instances.Instance instance = instances.start("a");
        instances.awaitReady(20_000);
        Thread.sleep(4_000);
        routes.add(Cases.route("upload", "/upload/", "unsafe", "desk", 2));
        store.put("config", "main", Cases.configuration(8, routes, services));
        Thread.sleep(4_000);
        for (int i = 0; i < 10; i++) ask(record, instance);
        record.line("before: first route %d of %d served, added route %d of %d served", served.get(0), asked.get(0), served.get(1), asked.get(1));
        byte[] large = new byte[setup.trouble ? MAX_BODY_BYTES : USUAL_BODY_BYTES];
        record.line("callers: two send bodies of %d bytes for %d ms", large.length, LARGE_MILLIS);
        long end = Record.now() + LARGE_MILLIS;
        Cases.burst(2, i -> {
            while (Record.now() < end) {
                upload(record, instance, large);
                Cases.sleep(50);
            }
            return 0;
        });
        record.line("callers: no more such bodies");
        Thread.sleep(CALM_MILLIS);
        for (int i = 0; i < 2; i++) {
            asked.set(i, 0);
            served.set(i, 0);
        }
        long until = Record.now() + 30_000;
        while (Record.now() < until) ask(record, instance);
        double first = served.get(0) / (double) asked.get(0);
        double added = served.get(1) / (double) asked.get(1);
        record.line("after: first route %d of %d served, added route %d of %d served", served.get(0), asked.get(0), served.get(1), asked.get(1));
        instances.close();
        return asked.get(1) < 20 || added >= first / 4;
    }

    private void ask(Record record, Instances.Instance instance) {
        asked.incrementAndGet(0);
        if (Cases.request(record, instance, "GET", "/look/1", 1_500, Cases.newAttempt()) == 200) served.incrementAndGet(0);
        asked.incrementAndGet(1);
        if (upload(record, instance, new byte[USUAL_BODY_BYTES]) == 200) served.incrementAndGet(1);
        Cases.sleep(200);
    }

    /** Sends one request with [body]; returns the status, or 0 without a complete answer. */
    private static int upload(Record record, Instances.Instance instance, byte[] body) {
        String attempt = Cases.newAttempt();
        String head =
            "POST /upload/1 HTTP/1.1\r\nHost: " + Cases.HOST + "\r\nX-Oriolespindle-Attempt-Id: " + attempt
                + "\r\nX-Oriolespindle-Deadline-Ms: 4000\r\nAuthorization: Bearer " + Cases.KEY + "\r\nContent-Length: "
                + body.length + "\r\n\r\n";
        int status = 0;
        String detail = "";
        try {
            Http.Message answer = Http.call(instance.callers, head, body, 6_000);
            status = answer.status();
            if (status != 200) detail = " " + new String(answer.body, StandardCharsets.UTF_8);
        } catch (IOException e) {
            detail = " " + e.getMessage();
        }
        record.line("caller: POST %s with %d bytes, answered %d%s", attempt, body.length, status, detail);
        return status;
    }
}
