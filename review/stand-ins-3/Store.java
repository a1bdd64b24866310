import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The platform's store: objects by kind and name, one revision counter, conditional writes, lists and watches.
 *
 * It can be away for a moment and come back from a copy. Then revisions go back and are given out again, a watch from
 * one that it does not have gets 410, and Store-Era rises by one in all answers.
 */
final class Store {
    private record Item(String kind, String name, long revision, long created, Object spec) {}

    private record Copy(Map<String, TreeMap<String, Item>> kinds, List<Item> changes, long revision) {}

    private static final long ANSWER_MILLIS = 4;
    private final Http.Listener listener;
    private Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
    /** All changes, oldest first; a null spec is a deletion. */
    private List<Item> changes = new ArrayList<>();
    private long revision = 1;
    private long era = 1;
    /** Since when the store answers nothing; null unless it is silent. */
    private boolean isSilent;
    /** When the store last came back after a silence; connections from before are dead. */
    private long backAt = Long.MIN_VALUE;
    /** The number of writes by the system, by kind. */
    final Map<String, Integer> systemWrites = new TreeMap<>();

    Store(String ip) throws IOException {
        listener = new Http.Listener(ip, this::answer);
    }

    String address() {
        return listener.address();
    }

    void close() {
        listener.close();
    }

    synchronized long revision() {
        return revision;
    }

    synchronized long revisionOf(String kind, String name) {
        Item item = kind(kind).get(name);
        return item == null ? 0 : item.revision;
    }

    synchronized List<String> names(String kind) {
        return new ArrayList<>(kind(kind).keySet());
    }

    /** Writes on behalf of the operator or a server; one that changes nothing does not raise the revision. */
    synchronized long put(String kind, String name, Object spec) {
        Item known = kind(kind).get(name);
        if (known != null && Json.write(known.spec).equals(Json.write(spec))) return known.revision;
        return save(kind, name, spec, known).revision;
    }

    synchronized void remove(String kind, String name) {
        Item known = kind(kind).remove(name);
        if (known == null) return;
        changes.add(new Item(kind, name, ++revision, known.created, null));
        notifyAll();
    }

    synchronized Object copy() {
        Map<String, TreeMap<String, Item>> copied = new HashMap<>();
        kinds.forEach((kind, items) -> copied.put(kind, new TreeMap<>(items)));
        return new Copy(copied, new ArrayList<>(changes), revision);
    }

    void goAway() {
        listener.close();
    }

    /** Answers nothing from now on, as a host that is gone; its connections stay open. */
    synchronized void fallSilent() {
        isSilent = true;
    }

    /** Comes back after [fallSilent] with the state of [copy]; what comes on a connection from before is reset. */
    synchronized void speakAgain(Object copy) {
        restore(copy);
        backAt = System.nanoTime();
        isSilent = false;
        notifyAll();
    }

    private synchronized void restore(Object copy) {
        Copy old = (Copy) copy;
        kinds = new HashMap<>();
        old.kinds.forEach((kind, items) -> kinds.put(kind, new TreeMap<>(items)));
        changes = new ArrayList<>(old.changes);
        revision = old.revision;
        era++;
    }

    /** Holds a call while the store is silent, and breaks off one on a connection from before its return. */
    private synchronized void checkSilence(Http.Connection connection, long startedIn) throws Exception {
        if (!isSilent && connection.openedAt >= backAt && era == startedIn) return;
        while (isSilent) wait();
        // A call from before the return is never answered; the next one on its connection is reset.
        if (startedIn == era) {
            connection.reset();
            throw new IOException("the connection is from before the return");
        }
        throw new Unanswered();
    }

    /** Ends a call without an answer. */
    private static final class Unanswered extends Exception {}

    /** Comes back with the state of [copy]. */
    void comeBack(Object copy) throws IOException {
        restore(copy);
        listener.open();
    }

    private TreeMap<String, Item> kind(String kind) {
        return kinds.computeIfAbsent(kind, ignored -> new TreeMap<>());
    }

    private Item save(String kind, String name, Object spec, Item known) {
        long next = ++revision;
        Item item = new Item(kind, name, next, known == null ? next : known.created, spec);
        kind(kind).put(name, item);
        changes.add(item);
        notifyAll();
        return item;
    }

    private static Map<String, Object> encode(Item item) {
        Map<String, Object> metadata =
            Json.of("name", item.name, "revision", item.revision, "create_revision", item.created, "finalizers",
                List.of(), "deleting", false);
        return Json.of("metadata", metadata, "spec", item.spec, "status", null);
    }

    private void answer(Http.Message request, Http.Connection connection) throws Exception {
        long startedIn;
        synchronized (this) {
            startedIn = era;
        }
        try {
            checkSilence(connection, startedIn);
            Thread.sleep(ANSWER_MILLIS);
            checkSilence(connection, startedIn);
            answerCall(request, connection, startedIn);
        } catch (Unanswered ignored) {
            // The caller gets no answer.
        }
    }

    private void answerCall(Http.Message request, Http.Connection connection, long startedIn) throws Exception {
        String[] target = request.target().split("\\?", 2);
        String[] path = target[0].split("/");
        Map<String, String> query = new LinkedHashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) query.put(pair.split("=")[0], decoded(pair.split("=")[1]));
        }
        String kind = path[2];
        String name = path.length > 3 ? decoded(path[3]) : null;
        switch (request.method()) {
            case "GET" -> {
                if (name != null) get(connection, kind, name);
                else if (query.containsKey("watch")) watch(connection, kind, query, startedIn);
                else list(connection, kind, query.get("after"));
            }
            case "POST", "PUT" -> write(connection, kind, name, Json.object(Json.parse(request.text())));
            default -> reply(connection, 405, null);
        }
    }

    private static String decoded(String text) {
        return java.net.URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private void get(Http.Connection connection, String kind, String name) throws IOException {
        Item item;
        synchronized (this) {
            item = kind(kind).get(name);
        }
        reply(connection, item == null ? 404 : 200, item == null ? null : encode(item));
    }

    private void list(Http.Connection connection, String kind, String after) throws IOException {
        Object page;
        synchronized (this) {
            List<Object> items = new ArrayList<>();
            for (Item item : kind(kind).values()) {
                if (after == null || item.name.compareTo(after) > 0) items.add(encode(item));
            }
            page = Json.of("items", items, "truncated", false, "store_revision", revision);
        }
        reply(connection, 200, page);
    }

    private void watch(Http.Connection connection, String kind, Map<String, String> query, long startedIn)
        throws Exception {
        long from = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        Object page;
        synchronized (this) {
            if (from > revision) {
                page = null;
            } else {
                List<Object> events = events(kind, from);
                while (events.isEmpty() && era == startedIn && System.nanoTime() < end) {
                    wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
                    events = events(kind, from);
                }
                page = Json.of("events", events, "store_revision", revision);
            }
            checkSilence(connection, startedIn);
        }
        reply(connection, page == null ? 410 : 200, page);
    }

    private List<Object> events(String kind, long from) {
        List<Object> events = new ArrayList<>();
        for (Item item : changes) {
            if (item.kind.equals(kind) && item.revision > from) {
                events.add(Json.of("object", encode(item), "deleted", item.spec == null));
            }
        }
        return events;
    }

    private void write(Http.Connection connection, String kind, String name, Map<String, Object> body)
        throws IOException {
        Map<String, Object> metadata = Json.object(body.get("metadata"));
        String target = name != null ? name : (String) metadata.get("name");
        Object expected = metadata.get("revision");
        int status;
        Object answer;
        synchronized (this) {
            Item known = kind(kind).get(target);
            if (name != null && known == null) {
                status = 404;
                answer = null;
            } else if (name == null ? known != null : expected != null && !Objects.equals(expected, known.revision)) {
                status = 409;
                answer = encode(known);
            } else {
                boolean isSame = known != null && Json.write(known.spec).equals(Json.write(body.get("spec")));
                status = 200;
                answer = encode(isSame ? known : save(kind, target, body.get("spec"), known));
                systemWrites.merge(kind, 1, Integer::sum);
            }
        }
        reply(connection, status, answer);
    }

    private void reply(Http.Connection connection, int status, Object body) throws IOException {
        byte[] bytes = body == null ? new byte[0] : Json.write(body).getBytes(StandardCharsets.UTF_8);
        long current;
        synchronized (this) {
            current = era;
        }
        connection.answer(status, Map.of("Content-Type", "application/json", "Store-Era", "" + current), bytes);
    }
}
