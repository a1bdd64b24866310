import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All machines lose power (the final fault) while each server has as many connections as it takes. Until the server's
 * idle timeout it can't know that they are dead, so it resets new connections for some seconds. Servers are sound and
 * never end. The consumers send prompts that share their first part; no two are alike.
 */
final class FullServers {
    private static final int RECOVERY_MILLIS = 12_000;
    private static final int SERVERS = 8;
    private static final int MAX_CONNECTIONS = 96;
    private static final int IDLE_MILLIS = 6_000;
    private static final int CONSUMERS = 4;

    /** A server that takes MAX_CONNECTIONS, resets those beyond, and closes those that are idle for IDLE_MILLIS. */
    private static final class Limited extends Server {
        private static final int EVENTS = 10;
        private final List<Socket> others = new ArrayList<>();
        private volatile boolean peersAreDark;
        private final AtomicInteger dead = new AtomicInteger();
        private final AtomicInteger resets = new AtomicInteger();

        Limited(Lab lab, String id) throws IOException {
            super(lab, id, "writer");
        }

        @Override
        boolean accepts(Socket socket) throws IOException {
            if (connections.size() + dead.get() < MAX_CONNECTIONS) return super.accepts(socket);
            resets.incrementAndGet();
            lab.log("server " + id + " resets a connection beyond " + MAX_CONNECTIONS);
            socket.setSoLinger(true, 0);
            socket.close();
            return false;
        }

        /** A machine without power sends no end of its connections; they count until the idle timeout. */
        @Override
        void onEnd(Socket socket) {
            if (peersAreDark) dead.incrementAndGet();
            super.onEnd(socket);
        }

        @Override
        void run(Http.Message request, String attempt, OutputStream out) throws IOException {
            lab.log("server " + id + " runs " + attempt);
            Lab.sleep(40);
            out.write(("HTTP/1.1 200 OK\r\n" + echo(attempt) + "X-Oriolespindle-Server-Signature: s." + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
            for (int event = 0; event < EVENTS; event++) {
                String text = "id: " + event + "\ndata: " + attempt + "/" + event + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
                Lab.sleep(20);
            }
            out.write("0\r\n\r\n".getBytes());
        }

        /** The other machines of the system keep all the connections that are left. */
        void fill() throws IOException {
            while (connections.size() < MAX_CONNECTIONS) {
                int before = connections.size();
                others.add(new Socket(InetAddress.getByName("127.0.0.1"), listener.getLocalPort()));
                while (connections.size() == before) Lab.sleep(1);
            }
            lab.log("server " + id + " has " + connections.size() + " connections, " + others.size() + " from other machines");
        }

        /** The idle timeout has passed since the power was lost. */
        void onIdleTimeout() throws IOException {
            dead.set(0);
            for (Socket socket : others) socket.close();
            others.clear();
            lab.log("server " + id + " has closed the idle connections, after " + resets + " resets");
        }
    }

    public static void main(String[] args) {
        Cases.run(args, FullServers::run);
    }

    private static int run(Lab lab) throws IOException, InterruptedException {
        lab.store.put("config", "main", Cases.streams(MAX_CONNECTIONS));
        List<Limited> servers = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) servers.add(new Limited(lab, "i-writer" + i));
        servers.forEach(Server::register);
        Lab.Instance node = lab.new Instance("front-z1-1");
        node.start();
        if (!node.awaitReady(20_000)) return 2;
        Lab.sleep(4_000);
        double before = traffic(lab, node, 8_000, "before");
        if (Lab.hasTrouble()) {
            for (Limited server : servers) server.fill();
            lab.log("the final fault: all machines lose power");
            for (Limited server : servers) server.peersAreDark = true;
            node.kill();
            Lab.daemon(() -> {
                Lab.sleep(IDLE_MILLIS);
                for (Limited server : servers) {
                    try {
                        server.onIdleTimeout();
                    } catch (IOException e) {
                        lab.log("close: " + e);
                    }
                }
            }).start();
            Lab.sleep(1_200);
            for (Limited server : servers) server.peersAreDark = false;
            node.start();
            if (!node.awaitReady(20_000)) return 2;
        }
        traffic(lab, node, RECOVERY_MILLIS, "back");
        double after = traffic(lab, node, 20_000, "after");
        lab.log(String.format("served: %.3f before the final fault, %.3f later than recovery_s after it", before, after));
        if (before < 0.25) return 2;
        return after < 0.25 ? 1 : 0;
    }

    /** Each consumer sends a prompt every 500 ms; returns the share that was answered whole. */
    private static double traffic(Lab lab, Lab.Instance node, long millis, String label) throws InterruptedException {
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        long end = System.nanoTime() + millis * 1_000_000;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CONSUMERS; i++) {
            String name = label + "-" + i;
            Thread thread = Lab.daemon(() -> {
                for (int n = 0; System.nanoTime() < end; n++) {
                    String attempt = name + "-" + n;
                    sent.incrementAndGet();
                    try (Client client = new Client(lab, node.callers)) {
                        Http.Message answer = client.send(attempt, "POST", "/draft/2f", 5_000, "X-Oriolespindle-Model: daka510000\r\n"
                            + "X-Oriolespindle-Token-Usage: 760,40\r\nX-Oriolespindle-Prompt-Prefix: 5c1e07a2:40,"
                            + Integer.toHexString(attempt.hashCode()) + ":720\r\n", "{\"text\":\"" + attempt + "\"}");
                        if (answer != null && answer.status() == 200) served.incrementAndGet();
                    } catch (IOException e) {
                        lab.log("consumer: no connection: " + e);
                    }
                    Lab.sleep(500);
                }
            });
            thread.start();
            threads.add(thread);
            Lab.sleep(125);
        }
        for (Thread thread : threads) thread.join();
        lab.log(label + ": " + served + " of " + sent + " requests were served");
        return served.get() / (double) Math.max(1, sent.get());
    }
}
