import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound store of the platform, in memory: objects by kind and name, one revision counter, lists and watches. */
final class Store implements AutoCloseable {
    private record Item(String kind, String name, long created, long revision, String spec, boolean deleted) {
        String json() {
            String metadata = "{\"name\":" + Json.quote(name) + ",\"revision\":" + revision + ",\"create_revision\":"
                + created + ",\"finalizers\":[],\"deleting\":false}";
            return "{\"metadata\":" + metadata + (spec == null ? "" : ",\"spec\":" + spec) + ",\"status\":null}";
        }
    }

    private static final Pattern REVISION = Pattern.compile("\"revision\"\\s*:\\s*(\\d+)");
    /** The time of an answer on the sheets of the installations. */
    private static final long ANSWER_MILLIS = 4;
    private final HttpServer http;
    private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
    private final List<Item> changes = new ArrayList<>();
    private long revision = 10;

    Store() throws IOException {
        http = HttpServer.create(new InetSocketAddress("127.0.0.1", Lab.freePort()), 1024);
        http.setExecutor(Executors.newCachedThreadPool(Lab::daemon));
        http.createContext("/objects/", exchange -> {
            try {
                Thread.sleep(ANSWER_MILLIS);
                answer(exchange);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                exchange.close();
            }
        });
        http.start();
    }

    String address() {
        return "127.0.0.1:" + http.getAddress().getPort();
    }

    @Override
    public void close() {
        http.stop(0);
    }

    /** Writes an object as the operator or a server does; the return is the store's acknowledgement. */
    synchronized void put(String kind, String name, String spec) {
        Item known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        if (known != null && known.spec.equals(spec)) return;
        save(kind, name, spec);
    }

    synchronized void remove(String kind, String name) {
        Item known = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (known == null) return;
        changes.add(new Item(kind, name, known.created, ++revision, known.spec, true));
        notifyAll();
    }

    private Item save(String kind, String name, String spec) {
        TreeMap<String, Item> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        Item known = objects.get(name);
        long next = ++revision;
        Item item = new Item(kind, name, known == null ? next : known.created, next, spec, false);
        objects.put(name, item);
        changes.add(item);
        notifyAll();
        return item;
    }

    private void answer(HttpExchange exchange) throws IOException, InterruptedException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String[] path = exchange.getRequestURI().getRawPath().split("/");
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String part : text == null ? new String[0] : text.split("&")) {
            int at = part.indexOf('=');
            query.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
        }
        String kind = path[2];
        String name = path.length > 3 ? URLDecoder.decode(path[3], StandardCharsets.UTF_8) : null;
        switch (exchange.getRequestMethod()) {
            case "GET" -> read(exchange, kind, name, query);
            case "POST" -> create(exchange, kind, body);
            case "PUT" -> replace(exchange, kind, name, body);
            default -> reply(exchange, 400, "{}");
        }
    }

    private void read(HttpExchange exchange, String kind, String name, Map<String, String> query)
        throws IOException, InterruptedException {
        if (name != null) {
            Item item;
            synchronized (this) {
                item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            }
            reply(exchange, item == null ? 404 : 200, item == null ? "{}" : item.json());
        } else if (query.containsKey("watch")) {
            reply(exchange, 200, watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms"))));
        } else {
            reply(exchange, 200, list(kind, query.get("after")));
        }
    }

    private synchronized String list(String kind, String after) {
        TreeMap<String, Item> objects = kinds.getOrDefault(kind, new TreeMap<>());
        List<String> items = new ArrayList<>();
        for (Item item : (after == null ? objects : objects.tailMap(after, false)).values()) items.add(item.json());
        return "{\"items\":[" + String.join(",", items) + "],\"truncated\":false,\"store_revision\":" + revision + "}";
    }

    private synchronized String watch(String kind, long from, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        List<String> events = events(kind, from);
        while (events.isEmpty() && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            events = events(kind, from);
        }
        return "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}";
    }

    private List<String> events(String kind, long from) {
        List<String> events = new ArrayList<>();
        for (Item item : changes) {
            if (!item.kind.equals(kind) || item.revision <= from) continue;
            events.add("{\"deleted\":" + item.deleted + ",\"object\":" + item.json() + "}");
        }
        return events;
    }

    private void create(HttpExchange exchange, String kind, String body) throws IOException {
        String name = Json.unquote(Json.member(Json.member(body, "metadata"), "name"));
        Item item;
        boolean isNew;
        synchronized (this) {
            item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            isNew = item == null;
            if (isNew) item = save(kind, name, Json.member(body, "spec"));
        }
        reply(exchange, isNew ? 200 : 409, item.json());
    }

    private void replace(HttpExchange exchange, String kind, String name, String body) throws IOException {
        Matcher expected = REVISION.matcher(Json.member(body, "metadata"));
        Item item;
        int status;
        synchronized (this) {
            item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            if (item == null) {
                status = 404;
            } else if (expected.find() && Long.parseLong(expected.group(1)) != item.revision) {
                status = 409;
            } else {
                status = 200;
                String spec = Json.member(body, "spec");
                if (!spec.equals(item.spec)) item = save(kind, name, spec);
            }
        }
        reply(exchange, status, item == null ? "{}" : item.json());
    }

    private static void reply(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
