import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of prompts crashes each server that begins to write an answer on it: the server has written two events when
 * it crashes. Requests with the part come all the time, no two alike; sound ones share their first part.
 */
final class PartCrash {
    private static final int SERVERS = 10;
    private static final int DOWN_MILLIS = 4_500;
    private static final int LAPSE_MILLIS = 3_600;
    private static final long WINDOW_MILLIS = 3_000;
    private static final int CRASH_NUMBER = 5;
    private static final String FIRST_PART = "5c1e07a2";
    private static final String BAD_PART = "91bd3f06";

    /** When servers crashed and when requests with the part arrived, in milliseconds. */
    private static final ConcurrentLinkedQueue<Long> CRASHES = new ConcurrentLinkedQueue<>();
    private static final ConcurrentLinkedQueue<Long> ARRIVALS = new ConcurrentLinkedQueue<>();

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** A model server whose answers are streams of events. */
    private static final class Host extends Server {
        private static final int EVENTS = 20;
        private final int number;
        private final int lifetime;

        Host(Lab lab, int number, int lifetime, ServerSocket listener) {
            super(lab, "i-writer" + number + "-" + lifetime, "writer", listener);
            this.number = number;
            this.lifetime = lifetime;
        }

        @Override
        void run(Http.Message request, String attempt, OutputStream out) throws IOException {
            boolean isBad = request.header("X-Oriolespindle-Prompt-Prefix").contains(BAD_PART);
            if (isBad) ARRIVALS.add(now());
            lab.log("server " + id + " runs " + attempt + (isBad ? ", which has the part" : ""));
            String resumed = request.header("Last-Event-Id");
            int first = resumed == null ? 0 : Integer.parseInt(resumed.trim()) + 1;
            Lab.sleep(40);
            out.write(("HTTP/1.1 200 OK\r\n" + echo(attempt) + "X-Oriolespindle-Server-Signature: s." + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
            for (int event = first; event < EVENTS; event++) {
                if (isBad && event == first + 2) {
                    crash(attempt);
                    throw new IOException("crashed");
                }
                String text = "id: " + event + "\ndata: " + attempt + "/" + event + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
                out.flush();
                Lab.sleep(30);
            }
            out.write("0\r\n\r\n".getBytes());
        }

        /** The process ends: its connections are reset and its address refuses connections, until it is started again. */
        private synchronized void crash(String attempt) throws IOException {
            if (listener.isClosed()) return;
            CRASHES.add(now());
            lab.log("server " + id + " crashes under " + attempt);
            listener.close();
            for (Socket socket : connections) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            Lab.daemon(() -> {
                Lab.sleep(LAPSE_MILLIS);
                lab.store.remove("servers", id);
                Lab.sleep(DOWN_MILLIS - LAPSE_MILLIS);
                try {
                    new Host(lab, number, lifetime + 1, Lab.listen(listener.getLocalPort())).register();
                } catch (IOException e) {
                    lab.log("server " + id + " is not back: " + e);
                }
            }).start();
        }
    }

    private static final class Tally {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger begun = new AtomicInteger();

        double share() {
            return begun.get() / (double) Math.max(1, sent.get());
        }
    }

    public static void main(String[] args) {
        Cases.run(args, PartCrash::run);
    }

    private static int run(Lab lab) throws IOException, InterruptedException {
        lab.store.put("config", "main", Cases.streams(1058));
        for (int i = 0; i < SERVERS; i++) {
            new Host(lab, i, 1, Lab.listen()).register();
        }
        Lab.Instance node = lab.new Instance("front-z1-1");
        node.start();
        if (!node.awaitReady(20_000)) return 2;
        Lab.sleep(4_000);
        Tally calm = new Tally();
        Tally troubled = new Tally();
        long start = now();
        List<Thread> threads = new ArrayList<>();
        for (int n = 0; now() - start < 45_000; n++) {
            // A sound request each 150 ms; from 10 s on, one with the part each 300 ms.
            int number = n;
            threads.add(send(lab, node, "sound" + n, FIRST_PART + ":40,5ab" + n + ":720", begun -> {
                Tally tally = isCounted(start, begun[0]) ? troubled : begun[0] - start < 10_000 ? calm : null;
                if (tally == null) return;
                tally.sent.incrementAndGet();
                if (begun[1] == 1) tally.begun.incrementAndGet();
            }));
            if (Lab.hasTrouble() && now() - start >= 10_000 && n % 2 == 0) {
                threads.add(send(lab, node, "part" + n, FIRST_PART + ":40," + BAD_PART + ":100,bad" + number + ":600", begun -> { }));
            }
            Lab.sleep(150);
        }
        for (Thread thread : threads) thread.join();
        return judge(lab, start, calm, troubled);
    }

    private static int judge(Lab lab, long start, Tally calm, Tally troubled) {
        List<Long> crashes = new ArrayList<>(CRASHES);
        lab.log(crashes.size() + " crashes, " + ARRIVALS.size() + " arrivals of requests with the part");
        if (!Lab.hasTrouble()) {
            lab.log("sound requests that began: " + calm.begun + " of " + calm.sent);
            return calm.share() > 0.9 ? 0 : 2;
        }
        if (crashes.size() < CRASH_NUMBER) return 0;
        long late = ARRIVALS.stream().filter(at -> at > crashes.get(CRASH_NUMBER - 1) + WINDOW_MILLIS).count();
        lab.log("BUDGET: " + late + " requests with the part reached servers later than " + WINDOW_MILLIS
            + " ms after the fifth crash; three are allowed");
        lab.log("LOST: sound requests began in " + calm.begun + " of " + calm.sent + " cases before the first crash, and in "
            + troubled.begun + " of " + troubled.sent + " from " + 2 * WINDOW_MILLIS + " ms after the fifth crash on");
        if (calm.sent.get() < 20 || troubled.sent.get() < 20) return 2;
        return troubled.share() < calm.share() / 2 ? 1 : 0;
    }

    private static boolean isCounted(long start, long sentAt) {
        List<Long> crashes = new ArrayList<>(CRASHES);
        return crashes.size() >= CRASH_NUMBER && sentAt > crashes.get(CRASH_NUMBER - 1) + 2 * WINDOW_MILLIS;
    }

    private interface Result {
        /** Receives when the request was sent and whether (1) its answer began at the first attempt. */
        void accept(long[] sentAndBegun);
    }

    private static Thread send(Lab lab, Lab.Instance node, String attempt, String parts, Result result) {
        Thread thread = Lab.daemon(() -> {
            long sentAt = now();
            int begun = 0;
            try (Client client = new Client(lab, node.callers)) {
                client.send(attempt, "POST", "/draft/2f", 10_000, "X-Oriolespindle-Model: daka510000\r\n"
                    + "X-Oriolespindle-Token-Usage: 760,80\r\nX-Oriolespindle-Prompt-Prefix: " + parts + "\r\n", "{\"n\":\"" + attempt + "\"}");
                begun = client.lastStatus() == 200 ? 1 : 0;
            } catch (IOException e) {
                lab.log("consumer: " + attempt + " no connection: " + e);
            }
            result.accept(new long[] {sentAt, begun});
        });
        thread.start();
        return thread;
    }
}
