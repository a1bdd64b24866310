import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Starts the program with the command of [roles.relay] in the deploy file, one loopback address for each instance. */
final class Instances implements AutoCloseable {
    static final class Instance {
        final String name;
        final String ip;
        final String callers;
        final String readiness;
        final String zone;
        volatile Process process;

        Instance(String name, String ip, String zone) throws IOException {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            callers = ip + ":" + freePort(ip);
            readiness = ip + ":" + freePort(ip);
        }
    }

    private final Path root;
    private final Path logs;
    private final String storeAddress;
    private final Map<String, String> bounds;
    private final List<Instance> all = new CopyOnWriteArrayList<>();
    private final String network;
    private int next = 1;

    Instances(Path root, Path logs, String storeAddress, Map<String, String> bounds) throws IOException {
        this.root = root;
        this.logs = logs;
        this.storeAddress = storeAddress;
        this.bounds = bounds;
        network = freeNetwork();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** The bounds of a small deployment, as the sheet of the site has them. */
    static Map<String, String> bounds() {
        Map<String, String> bounds = new LinkedHashMap<>();
        bounds.put("stable_window_ms", "3000");
        bounds.put("config_apply_ms", "2000");
        bounds.put("drain_ms", "2000");
        bounds.put("grace_s", "8");
        bounds.put("retry_ratio", "0.2");
        bounds.put("retry_burst", "196");
        bounds.put("retry_window_s", "10");
        return bounds;
    }

    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 50; i++) {
            String network = "127." + (16 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
            try (ServerSocket ignored = new ServerSocket(9180, 1, InetAddress.getByName(network + "1"))) {
                return network;
            } catch (IOException ignored) {
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return socket.getLocalPort();
        }
    }

    Instance start(String zone) throws IOException {
        Instance instance = new Instance("front-" + zone + "-" + next, network + next, zone);
        next++;
        all.add(instance);
        launch(instance);
        return instance;
    }

    void launch(Instance instance) throws IOException {
        Path log = logs.resolve(instance.name + ".log");
        instance.process =
            new ProcessBuilder(command(instance))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    private List<String> command(Instance instance) throws IOException {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) run = line.substring(7, line.lastIndexOf('"'));
        }
        if (run == null) throw new IOException("no command in the deploy file");
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node_name", instance.name);
        values.put("zone", instance.zone);
        values.put("ip", instance.ip);
        values.put("listen.frontend", instance.callers);
        values.put("listen.readiness_addr", instance.readiness);
        values.put("port_range.0", "" + freePort(instance.ip));
        values.put("provider.address", storeAddress);
        values.put("limits.max_fds", "4200");
        bounds.forEach((name, value) -> values.put("bounds." + name, value));
        List<String> words = new ArrayList<>();
        for (String word : run.split(" ")) {
            for (Map.Entry<String, String> value : values.entrySet()) {
                word = word.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            if (word.contains("{{")) throw new IOException("unknown placeholder in " + word);
            words.add(word);
        }
        return words;
    }

    boolean isReady(Instance instance) {
        try {
            return Http.call(instance.readiness, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0], 1000).status()
                == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until all instances are ready. */
    void awaitReady(long millis) throws Exception {
        long end = System.nanoTime() + millis * 1_000_000;
        for (Instance instance : all) {
            while (!isReady(instance)) {
                if (System.nanoTime() > end) throw new IOException(instance.name + " is not ready");
                Thread.sleep(50);
            }
        }
    }

    static void signal(Instance instance, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + instance.process.pid()).start().waitFor();
    }

    @Override
    public void close() {
        for (Instance instance : all) {
            instance.process.destroyForcibly();
            try {
                instance.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException ignored) {
            }
        }
    }
}
