import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves one entry among those of the servers: fields are missing, and one is of another type. At its
 * address is a program of its own, which is no server of the platform and answers 404 to what it doesn't know.
 */
final class ForeignProgram {
    private static final int APPLY_MILLIS = 2_000;
    private static final int CONSUMERS = 10;

    /** With the 5 ms of any server here about as long as on the sheet of vanua-roll-large, 85.7 ms. */
    private static final int WORK_MILLIS = 80;

    /** A program that speaks HTTP, such as an exporter of metrics. */
    private static final class Exporter extends Server {
        final AtomicInteger requests = new AtomicInteger();

        Exporter(Lab lab) throws IOException {
            super(lab, "exporter", "none");
        }

        @Override
        String entry() {
            return "{\"service\":\"till\",\"address\":\"" + address() + "\",\"zone\":\"z1\",\"slots\":\"134\",\"state\":\"ready\"}";
        }

        @Override
        void handle(Http.Message request, OutputStream out) throws IOException {
            requests.incrementAndGet();
            lab.log("exporter answers 404 to " + request.start() + " of " + request.header("X-Oriolespindle-Attempt-Id"));
            out.write(answer(404, "Not Found", "", "not found"));
        }
    }

    /** A sound server that works for some time on each request; there is one in each zone. */
    private static final class Desk extends Server {
        private final String zone;

        Desk(Lab lab, String id, String service, String zone) throws IOException {
            super(lab, id, service);
            this.zone = zone;
        }

        @Override
        String entry() {
            return super.entry().replace("\"zone\":\"z1\"", "\"zone\":\"" + zone + "\"");
        }

        @Override
        void run(Http.Message request, String attempt, OutputStream out) throws IOException {
            Lab.sleep(WORK_MILLIS);
            super.run(request, attempt, out);
        }
    }

    public static void main(String[] args) {
        Cases.run(args, ForeignProgram::run);
    }

    private static int run(Lab lab) throws IOException, InterruptedException {
        for (String service : List.of("desk", "till")) {
            for (int i = 1; i <= 3; i++) new Desk(lab, "i-" + service + i, service, "z" + i).register();
        }
        lab.store.put("config", "main", configuration(3, false));
        Lab.Instance node = lab.new Instance("front-z1-1");
        node.start();
        if (!node.awaitReady(20_000)) return 2;
        Lab.sleep(4_000);
        lab.store.put("config", "main", configuration(5, true));
        lab.log("the operator adds the route /charge/ to service till");
        Exporter exporter = new Exporter(lab);
        if (Lab.hasTrouble()) {
            lab.store.put("servers", "inventory-7", exporter.entry());
            lab.log("another writer writes the entry inventory-7: " + exporter.entry());
        }
        Lab.sleep(APPLY_MILLIS + 3_000);
        AtomicInteger[] first = {new AtomicInteger(), new AtomicInteger()};
        AtomicInteger[] added = {new AtomicInteger(), new AtomicInteger()};
        long end = System.nanoTime() + 20_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CONSUMERS; i++) {
            threads.add(consumer(lab, node, end, "deduct" + i, "/deduct/", first));
            threads.add(consumer(lab, node, end, "charge" + i, "/charge/", added));
        }
        for (Thread thread : threads) thread.join();
        lab.log("first route: " + first[1] + " of " + first[0] + " requests were served; added route: " + added[1] + " of " + added[0]);
        lab.log("the other program got " + exporter.requests + " requests of consumers");
        if (first[0].get() < 20 || added[0].get() < 20 || first[1].get() == 0) return 2;
        double firstShare = first[1].get() / (double) first[0].get();
        double addedShare = added[1].get() / (double) added[0].get();
        return addedShare < firstShare / 4 ? 1 : 0;
    }

    private static Thread consumer(Lab lab, Lab.Instance node, long end, String name, String prefix, AtomicInteger[] tally) {
        Thread thread = Lab.daemon(() -> {
            Client client = null;
            for (int n = 0; System.nanoTime() < end; n++) {
                String attempt = name + "-" + n;
                tally[0].incrementAndGet();
                try {
                    if (client == null) client = new Client(lab, node.callers);
                    Http.Message answer = client.send(attempt, "POST", prefix + attempt, 1_500, "", "{\"pieces\":" + n + "}");
                    if (answer == null) {
                        client.close();
                        client = null;
                    } else if (answer.status() == 200) {
                        tally[1].incrementAndGet();
                    }
                } catch (IOException e) {
                    lab.log("consumer: no connection: " + e);
                }
                Lab.sleep(200);
            }
        });
        thread.start();
        return thread;
    }

    private static String configuration(int version, boolean hasAddedRoute) {
        return "{\"version\":" + version + ",\"routes\":[" + route("deduct", "desk")
            + (hasAddedRoute ? "," + route("charge", "till") : "") + "],\"services\":["
            + "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":96},"
            + "{\"name\":\"till\",\"health_path\":\"/health\",\"max_conns\":96}],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private static String route(String name, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"path_prefix\":\"/" + name + "/\",\"kind\":\"unsafe\","
            + "\"timeout_ms\":2000,\"target_latency_ms\":387,\"service\":\"" + service + "\",\"max_attempts\":1,\"public\":true}";
    }
}
