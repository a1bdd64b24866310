import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A process is killed and starts again. Consumers connect to it as soon as it listens, and keep their connections.
 * Later they send requests with larger heads, which max_header_bytes of the configuration allows.
 */
final class HeaderLimit {
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int CONSUMERS = 20;
    private static final int REQUESTS = 20;
    private static final int FIRST_LARGE = 8;

    public static void main(String[] args) {
        Cases.run(args, HeaderLimit::run);
    }

    private static int run(Lab lab) throws IOException, InterruptedException {
        new Server(lab, "i-desk1", "desk").register();
        lab.store.put("config", "main", Cases.configuration(3, MAX_HEADER_BYTES));
        Lab.Instance node = lab.new Instance("front-z1-1");
        node.start();
        if (!node.awaitReady(20_000)) return 2;
        Lab.sleep(4_000);
        if (Lab.hasTrouble()) {
            node.kill();
            node.start();
        }
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger denied = new AtomicInteger();
        List<Thread> consumers = new ArrayList<>();
        for (int i = 0; i < CONSUMERS; i++) {
            String name = "c" + i;
            Thread thread = Lab.daemon(() -> consume(lab, node, name, sent, denied));
            thread.start();
            consumers.add(thread);
        }
        for (Thread consumer : consumers) consumer.join();
        double allowed = 5 + sent.get() / 500.0;
        lab.log(denied + " of " + sent + " requests were denied; more than " + allowed + " break the rule");
        return denied.get() > allowed ? 1 : 0;
    }

    /** Sends a request a second over one connection, with larger heads from 8 s on; opens another when it is closed. */
    private static void consume(Lab lab, Lab.Instance node, String name, AtomicInteger sent, AtomicInteger denied) {
        Client client = null;
        try {
            for (int n = 0; n < REQUESTS; n++) {
                if (client == null) client = connect(lab, node);
                int cookie = n < FIRST_LARGE ? 200 : 20_000;
                sent.incrementAndGet();
                Http.Message answer =
                    client.send(name + "-" + n, "GET", "/status/" + name, 2_000, "Cookie: " + "c".repeat(cookie) + "\r\n", null);
                if (answer == null || "close".equalsIgnoreCase(answer.header("Connection"))) {
                    client.close();
                    client = null;
                }
                if (answer != null && isDenial(answer.status())) denied.incrementAndGet();
                Lab.sleep(1_000);
            }
        } catch (IOException e) {
            lab.log("consumer " + name + ": " + e);
        }
    }

    /** A 3xx or 4xx other than 408, 421 and 429. */
    private static boolean isDenial(int status) {
        return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
    }

    private static Client connect(Lab lab, Lab.Instance node) throws IOException {
        for (int i = 0; i < 5_000; i++) {
            try {
                return new Client(lab, node.callers);
            } catch (IOException e) {
                Lab.sleep(2);
            }
        }
        throw new IOException("no connection");
    }
}
