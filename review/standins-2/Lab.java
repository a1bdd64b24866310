import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: a store, processes of the program, a record of what happened, and the end of it all. */
final class Lab implements AutoCloseable {
    static final long START = System.nanoTime();
    final Store store;
    final Path folder;
    private final BufferedWriter record;
    private final List<Process> processes = new ArrayList<>();

    Lab(Path record) throws IOException {
        this.record = Files.newBufferedWriter(record);
        folder = Files.createTempDirectory("review");
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Below the ports that systems give to outgoing connections, one of which could take it before the process does. */
    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                return port;
            } catch (BindException e) {
                // Another program has it.
            }
        }
    }

    /** Returns a listener on a free port; see freePort. */
    static ServerSocket listen() throws IOException {
        return listen(freePort());
    }

    static ServerSocket listen(int port) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress("127.0.0.1", port), 512);
        return listener;
    }

    static String seconds() {
        return String.format("%8.3f", (System.nanoTime() - START) / 1e9);
    }

    synchronized void log(String text) {
        try {
            record.write(seconds() + "  " + text + "\n");
            record.flush();
        } catch (IOException e) {
            System.err.println("record: " + e);
        }
    }

    /** The processes end with this one. */
    @Override
    public synchronized void close() {
        processes.forEach(Process::destroyForcibly);
        store.close();
        try {
            record.flush();
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) Files.deleteIfExists(file);
            }
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            // The folder is temporary.
        }
    }

    /** One process of the program, with the command of the deploy file. */
    final class Instance {
        final String name;
        final int callers = freePort();
        final int readiness = freePort();
        private final int metrics = freePort();
        private final int hints = freePort();
        private final int maxFiles;
        volatile Process process;

        Instance(String name) throws IOException {
            this(name, 4200);
        }

        Instance(String name, int maxFiles) throws IOException {
            this.name = name;
            this.maxFiles = maxFiles;
        }

        void start() throws IOException {
            List<String> words = new ArrayList<>();
            for (String word : command().split(" ")) words.add(fill(word));
            File output = new File(folder.toFile(), name + ".log");
            process = new ProcessBuilder(words).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output)).start();
            synchronized (Lab.this) {
                processes.add(process);
            }
            log("process " + name + " started, pid " + process.pid());
        }

        /** Returns whether the process reports that it is ready within the time. */
        boolean awaitReady(long millis) {
            long end = System.nanoTime() + millis * 1_000_000;
            while (System.nanoTime() < end) {
                try (Socket socket = new Socket("127.0.0.1", readiness)) {
                    socket.setSoTimeout(1000);
                    socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
                    Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
                    if (answer != null && answer.status() == 200) {
                        log("process " + name + " is ready");
                        return true;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                sleep(20);
            }
            return false;
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            log("process " + name + " killed");
        }

        void signal(String signal) throws IOException, InterruptedException {
            log("signal " + signal + " to process " + name);
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor(5, TimeUnit.SECONDS);
        }

        String output() throws IOException {
            return Files.readString(new File(folder.toFile(), name + ".log").toPath());
        }

        private String fill(String word) {
            Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(word);
            return matcher.replaceAll(match -> Matcher.quoteReplacement(value(match.group(1))));
        }

        private String value(String field) {
            return switch (field) {
                case "node_name" -> name;
                case "zone" -> "z1";
                case "listen.frontend" -> "127.0.0.1:" + callers;
                case "listen.readiness_addr" -> "127.0.0.1:" + readiness;
                case "provider.address" -> store.address();
                case "bounds.stable_window_ms" -> "3000";
                case "bounds.config_apply_ms", "bounds.drain_ms" -> "2000";
                case "bounds.grace_s" -> "8";
                case "bounds.retry_ratio" -> "0.2";
                case "bounds.retry_burst" -> "196";
                case "bounds.retry_window_s" -> "10";
                case "limits.max_fds" -> "" + maxFiles;
                case "ip" -> "127.0.0.1";
                case "port_range.0" -> "" + hints;
                default -> throw new IllegalArgumentException("unknown setting " + field);
            };
        }

        private String command() throws IOException {
            String text = Files.readString(Path.of("deploy/system.toml"), StandardCharsets.UTF_8);
            Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(text);
            if (!matcher.find()) throw new IOException("no command in deploy/system.toml");
            return matcher.group(1).replace("{{ip}}:9180", "{{ip}}:" + metrics);
        }
    }
}
