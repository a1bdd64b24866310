package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One part of a prompt takes down the host of each model server that begins to write an answer on it. */
public final class DarkCrash {
    private static final int SERVERS = 10;
    private static final int BACKLOG = 8;
    private static final long DOWN_MS = 4500;
    private static final long BEAT_MS = 1200;
    private static final long STABLE_WINDOW_MS = 3000;
    private static final long HARMFUL_EVERY_MS = 700;

    /** Whether a host that goes down falls silent; with RESET=1 its connections are reset, as when a process ends. */
    private static final boolean IS_SILENT = !"1".equals(System.getenv("RESET"));
    private static final String BAD = "bad0bad0";
    private static final AtomicInteger CRASHES = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger SOUND = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger HARMFUL = new AtomicInteger();
    private static volatile long fifthCrashAt;
    private static volatile boolean isOver;

    /** A model server on a host of its own, which may go down and come back as a new lifetime at its address. */
    private static final class Server {
        final Bench bench;
        final String name;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        final List<Socket> fillers = new ArrayList<>();
        volatile int lifetime;
        int port;
        volatile ServerSocket listener;
        volatile boolean isDown;
        private volatile long born;

        Server(Bench bench, String name) throws Exception {
            this.bench = bench;
            this.name = name;
            start();
            Http.daemon(this::beats);
        }

        private String id() {
            return name + "-" + lifetime;
        }

        private synchronized void start() throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            try {
                socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG);
            } catch (IOException e) {
                socket.close();
                throw e;
            }
            lifetime++;
            port = socket.getLocalPort();
            listener = socket;
            isDown = false;
            born = System.currentTimeMillis();
            register(1);
            int number = lifetime;
            Http.daemon(() -> accept(socket, number));
        }

        private void register(long sequence) {
            Map<String, Object> entry = Bench.entry("127.0.0.1:" + port, "a", "ready", born, sequence);
            entry.put("service", "writer");
            entry.put("slots", 134);
            bench.store.put("servers", id(), entry);
        }

        private void beats() {
            for (long n = 2; ; n++) {
                pause(BEAT_MS);
                if (!isDown) register(n);
            }
        }

        private void accept(ServerSocket socket, int number) {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    open.add(connection);
                    if (isDown) return;
                    connection.setTcpNoDelay(true);
                    Http.daemon(() -> serve(connection, number));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection, int number) {
            try {
                var in = new java.io.BufferedInputStream(connection.getInputStream());
                while (true) {
                    Http.Message request = Http.read(in, false, false);
                    if (request == null) break;
                    if (isDown || number != lifetime) return;
                    stream(request, connection.getOutputStream(), number);
                }
                connection.close();
            } catch (IOException e) {
                // The connection has ended.
            }
        }

        private void stream(Http.Message request, OutputStream out, int number) throws IOException {
            String attempt = String.valueOf(request.header("X-Oriolespindle-Attempt-Id"));
            boolean isHarmful = String.valueOf(request.header("X-Oriolespindle-Prompt-Prefix")).contains(BAD);
            bench.note(id() + " receives " + attempt);
            if (isHarmful) {
                long since = Bench.millis() - fifthCrashAt;
                boolean isLate = fifthCrashAt > 0 && since > STABLE_WINDOW_MS;
                bench.log(id() + " receives the harmful " + attempt + (isLate ? ", " + since + " ms after the fifth crash" : ""));
                if (isLate) LATE.incrementAndGet();
            }
            Http.write(out, "HTTP/1.1 200 OK", null, "X-Oriolespindle-Attempt-Id", attempt,
                "X-Oriolespindle-Server-Signature", id() + "." + attempt, "Content-Type", "text/event-stream",
                "Transfer-Encoding", "chunked");
            String after = request.header("Last-Event-Id");
            for (int n = after == null ? 1 : Integer.parseInt(after) + 1; n <= 8; n++) {
                pause(40);
                if (isDown || number != lifetime) {
                    pause(60_000);
                    return;
                }
                if (isHarmful && bench.trouble) {
                    goDown(attempt);
                    pause(60_000);
                    return;
                }
                byte[] event = ("id: " + n + "\ndata: " + attempt + " " + n + "\n\n").getBytes();
                out.write((Integer.toHexString(event.length) + "\r\n").getBytes());
                out.write(event);
                out.write("\r\n".getBytes());
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes());
            out.flush();
        }

        /** The host is down: nothing is accepted, read, written or closed, until it is back. */
        private synchronized void goDown(String attempt) {
            if (isDown) return;
            isDown = true;
            int count = CRASHES.incrementAndGet();
            if (count == 5) fifthCrashAt = Bench.millis();
            bench.log(id() + " goes down under " + attempt + "; crash " + count);
            if (IS_SILENT) fillBacklog(); else end();
            Http.daemon(() -> {
                pause(3600);
                bench.store.remove("servers", id());
                pause(DOWN_MS - 3600);
                if (IS_SILENT) end();
                for (int tries = 0; isDown && tries < 20; tries++) {
                    try {
                        start();
                    } catch (IOException e) {
                        pause(100);
                    }
                }
                bench.note(id() + (isDown ? " could not start" : " has started"));
            });
        }

        /** Fills the queue of new connections, so that the opening packets of others get no answer. */
        private void fillBacklog() {
            for (int i = 0; i < BACKLOG * 3; i++) {
                try {
                    Socket filler = new Socket();
                    fillers.add(filler);
                    filler.connect(new InetSocketAddress("127.0.0.1", port), 30);
                } catch (IOException e) {
                    return;
                }
            }
        }

        /** Resets what was left open; the host knows nothing of it when it is back. */
        private void end() {
            close(listener);
            for (Socket s : open) {
                try {
                    s.setSoLinger(true, 0);
                } catch (IOException e) {
                    // It is closed already.
                }
                close(s);
            }
            fillers.forEach(Server::close);
            open.clear();
            fillers.clear();
        }

        private static void close(java.io.Closeable socket) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public static void main(String[] args) throws Exception {
        Bench.main(args, DarkCrash::run);
    }

    /** Sends a request for a stream, and leaves after a gap of 2 s. */
    private static boolean ask(Bench bench, Bench.Instance relay, String id, String parts) {
        try (Http.Connection c = new Http.Connection(relay.callers, 2000)) {
            Http.Message m = c.call("POST /draft/x HTTP/1.1", id.getBytes(), "Host", "desk.example",
                "X-Oriolespindle-Attempt-Id", id, "X-Oriolespindle-Deadline-Ms", "20000", "Authorization", "Bearer key-1",
                "X-Oriolespindle-Model", "m0", "X-Oriolespindle-Token-Usage", "800,80", "X-Oriolespindle-Prompt-Prefix", parts);
            boolean isServed = m != null && m.status() == 200 && m.complete;
            bench.note(id + " was answered " + (m == null ? "not at all" : m.status() + (m.complete ? "" : ", cut off")));
            return isServed;
        } catch (IOException e) {
            bench.note(id + " got no answer: " + e.getMessage());
            return false;
        }
    }

    private static void sound(Bench bench, Bench.Instance relay, int caller) {
        for (int n = 0; !isOver; n++) {
            String id = "sound-" + caller + "-" + n;
            SOUND.incrementAndGet();
            if (ask(bench, relay, id, "5c1e07a2:40,91bd3f06:410," + Integer.toHexString(id.hashCode()) + ":250")) SERVED.incrementAndGet();
            pause(300);
        }
    }

    private static String run(Bench bench) throws Exception {
        Map<String, Object> draft = Bench.route("/draft/", "streaming", 20000);
        draft.put("resumable", true);
        draft.put("sticky", true);
        draft.put("target_latency_ms", 500);
        draft.put("service", "writer");
        Map<String, Object> configuration = Bench.configuration(1, 15000, draft);
        configuration.put("services", List.of(Json.of("name", "writer", "health_path", "/health", "max_conns", 1058, "protocol", "h1", "tls", false)));
        bench.store.put("config", "main", configuration);
        for (int i = 0; i < SERVERS; i++) new Server(bench, "w" + i);
        Bench.Instance relay = bench.new Instance("front-a-1", "a").awaitReady();
        for (int caller = 0; caller < 4; caller++) {
            int number = caller;
            Http.daemon(() -> sound(bench, relay, number));
        }
        Thread.sleep(5000);
        long end = Bench.millis() + 30_000;
        for (int n = 0; Bench.millis() < end; n++) {
            String id = "harmful-" + n;
            HARMFUL.incrementAndGet();
            Http.daemon(() -> ask(bench, relay, id, "5c1e07a2:40," + BAD + ":300," + Integer.toHexString(id.hashCode()) + ":250"));
            Thread.sleep(HARMFUL_EVERY_MS);
        }
        isOver = true;
        Thread.sleep(2500);
        bench.log(HARMFUL + " harmful requests, all different; " + CRASHES + " crashes; " + SERVED + " of " + SOUND + " sound requests served");
        bench.log("harmful requests that reached servers later than " + STABLE_WINDOW_MS + " ms after the fifth crash: " + LATE
            + " (three are allowed)");
        relay.logLines(10, "endpoint ended", "rejected, since");
        if (SERVED.get() < 20 || bench.trouble && CRASHES.get() < 3) throw new Bench.CannotRun("too little happened");
        return bench.trouble && LATE.get() > 3 ? "BUDGET: " + LATE + " harmful requests reached servers" : null;
    }
}
