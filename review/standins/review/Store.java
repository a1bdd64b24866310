package review;

import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's store as PROTOCOL.md describes it. */
final class Store {
    private static final class Event {
        final String kind;
        final long revision;
        final Map<String, Object> object;
        final boolean deleted;

        Event(String kind, long revision, Map<String, Object> object, boolean deleted) {
            this.kind = kind;
            this.revision = revision;
            this.object = object;
            this.deleted = deleted;
        }
    }

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new LinkedHashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 1;
    final String address;

    Store() throws Exception {
        address = new Http.Listener(this::handle).address;
    }

    /** Writes an object for the operator or a server; returns once it is acknowledged. */
    synchronized long put(String kind, String name, Object spec) {
        save(kind, name, spec);
        return revision;
    }

    synchronized long remove(String kind, String name) {
        Map<String, Object> object = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (object != null) {
            events.add(new Event(kind, ++revision, object, true));
            notifyAll();
        }
        return revision;
    }

    private Map<String, Object> save(String kind, String name, Object spec) {
        TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        Map<String, Object> before = objects.get(name);
        if (before != null && Json.write(before.get("spec")).equals(Json.write(spec))) return before;
        revision++;
        Object created = before == null ? revision : ((Map<?, ?>) before.get("metadata")).get("create_revision");
        Map<String, Object> object =
            Json.of(
                "metadata",
                Json.of("name", name, "revision", revision, "create_revision", created, "finalizers", List.of(), "deleting", false),
                "spec", spec, "status", null);
        objects.put(name, object);
        events.add(new Event(kind, revision, object, false));
        notifyAll();
        return object;
    }

    private boolean handle(Http.Message request, OutputStream out, java.net.Socket socket) throws Exception {
        String[] path = request.path().split("/");
        String kind = path[2];
        String name = path.length > 3 ? URLDecoder.decode(path[3], StandardCharsets.UTF_8) : null;
        int status;
        Object answer;
        if (request.method().equals("GET") && request.query("watch") != null) {
            String wait = request.query("wait_ms");
            answer = watch(kind, Long.parseLong(request.query("watch")), wait == null ? 0 : Long.parseLong(wait));
            status = 200;
        } else if (request.method().equals("GET") && name == null) {
            answer = list(kind, request.query("after"));
            status = 200;
        } else if (request.method().equals("GET")) {
            synchronized (this) {
                answer = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            }
            status = answer == null ? 404 : 200;
        } else {
            Object[] result = write(request, kind, name);
            status = (int) result[0];
            answer = result[1];
        }
        byte[] body = answer == null ? new byte[0] : Json.write(answer).getBytes(StandardCharsets.UTF_8);
        Http.write(out, "HTTP/1.1 " + status + " X", body, "Content-Type", "application/json");
        return true;
    }

    private synchronized Object list(String kind, String after) {
        TreeMap<String, Map<String, Object>> objects = kinds.getOrDefault(kind, new TreeMap<>());
        List<Object> items = new ArrayList<>(after == null ? objects.values() : objects.tailMap(after, false).values());
        boolean truncated = items.size() > 500;
        return Json.of("items", truncated ? items.subList(0, 500) : items, "truncated", truncated, "store_revision", revision);
    }

    private synchronized Object watch(String kind, long from, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Event e : events) {
                if (e.kind.equals(kind) && e.revision > from) found.add(Json.of("deleted", e.deleted, "object", e.object));
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) return Json.of("events", found, "store_revision", revision);
            wait(left);
        }
    }

    private synchronized Object[] write(Http.Message request, String kind, String name) {
        TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        if (request.method().equals("DELETE")) {
            Map<String, Object> object = objects.get(name);
            if (object == null) return new Object[] {404, null};
            remove(kind, name);
            return new Object[] {200, object};
        }
        Map<?, ?> message = (Map<?, ?>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
        Map<?, ?> metadata = (Map<?, ?>) message.get("metadata");
        String target = name == null ? (String) metadata.get("name") : name;
        Map<String, Object> current = objects.get(target);
        if (name == null && current != null) return new Object[] {409, current};
        if (name != null && current == null) return new Object[] {404, null};
        Object expected = metadata == null ? null : metadata.get("revision");
        if (expected != null && current != null && !expected.equals(((Map<?, ?>) current.get("metadata")).get("revision"))) {
            return new Object[] {409, current};
        }
        return new Object[] {200, save(kind, target, message.get("spec"))};
    }
}
