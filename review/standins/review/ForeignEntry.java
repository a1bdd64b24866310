package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** Another writer leaves an entry with the address of a sound server and a service that nobody has named. */
public final class ForeignEntry {
    private static final int POLLERS = 6;
    /** The time until the state counts as steady; `stable_window_ms` is 3,000. */
    private static final long SETTLE_MS = 6000;
    private static final long WATCH_MS = 20_000;
    private static volatile boolean isOver;

    private static final class Answer {
        final String route;
        final long at;
        final boolean isServed;

        Answer(String route, long at, boolean isServed) {
            this.route = route;
            this.at = at;
            this.isServed = isServed;
        }
    }

    private static final List<Answer> ANSWERS = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] args) throws Exception {
        Bench.main(args, ForeignEntry::run);
    }

    private static boolean serve(Bench bench, Http.Message request, OutputStream out, String id) throws Exception {
        String attempt = String.valueOf(request.header("X-Oriolespindle-Attempt-Id"));
        bench.note(id + " receives " + attempt);
        Thread.sleep(20);
        bench.note(id + " has run " + attempt);
        Http.write(out, "HTTP/1.1 200 OK", ("done " + attempt).getBytes(), "X-Oriolespindle-Attempt-Id", attempt,
            "X-Oriolespindle-Server-Signature", id + "." + attempt);
        return true;
    }

    private static void call(Bench bench, Bench.Instance relay, String route, String line, byte[] body, int caller) {
        for (int n = 0; !isOver; n++) {
            String id = route + "-" + caller + "-" + n;
            long at = Bench.millis();
            String answer;
            try (Http.Connection c = new Http.Connection(relay.callers, 4000)) {
                Http.Message m = c.call(line, body, "Host", "desk.example", "X-Oriolespindle-Attempt-Id", id,
                    "X-Oriolespindle-Deadline-Ms", "2500", "Authorization", "Bearer key-1");
                answer = m == null ? "closed" : m.status() + " " + new String(m.body) + (m.header("Retry-After") == null ? "" : " Retry-After: " + m.header("Retry-After"));
            } catch (IOException e) {
                answer = "no answer, " + e.getMessage();
            }
            bench.note(id + ", sent " + (Bench.millis() - at) + " ms ago: " + answer);
            ANSWERS.add(new Answer(route, at, answer.startsWith("200")));
            try {
                Thread.sleep(300);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns how many requests on [route] were sent in the given time, and how many of them were served. */
    private static int[] count(String route, long from, long to) {
        int[] result = new int[2];
        for (Answer a : new ArrayList<>(ANSWERS)) {
            if (!a.route.equals(route) || a.at < from || a.at > to) continue;
            result[0]++;
            if (a.isServed) result[1]++;
        }
        return result;
    }

    private static Map<String, Object> configuration(long version, boolean hasBoard) {
        Map<String, Object> deduct = Bench.route("/deduct/", "unsafe", 2500);
        if (!hasBoard) return Bench.configuration(version, 15000, deduct);
        Map<String, Object> board = Bench.route("/board/", "safe", 2500);
        board.put("service", "board");
        Map<String, Object> result = Bench.configuration(version, 15000, deduct, board);
        List<Object> services = new ArrayList<>((List<?>) result.get("services"));
        services.add(Json.of("name", "board", "health_path", "/health", "max_conns", 96, "protocol", "h1", "tls", false));
        result.put("services", services);
        return result;
    }

    private static String run(Bench bench) throws Exception {
        bench.store.put("config", "main", configuration(1, false));
        for (String id : new String[] {"desk-1", "desk-2"}) {
            Http.Listener l = new Http.Listener((r, o, s) -> serve(bench, r, o, id));
            bench.store.put("servers", id, Bench.entry(l.address, "a", "ready", System.currentTimeMillis(), 1));
        }
        Bench.Instance relay = bench.new Instance("front-a-1", "a").awaitReady();
        for (int caller = 0; caller < POLLERS; caller++) {
            int number = caller;
            Http.daemon(() -> call(bench, relay, "deduct", "POST /deduct/x HTTP/1.1", new byte[100], number));
        }
        Thread.sleep(2000);
        bench.store.put("config", "main", configuration(2, true));
        bench.log("the operator has added the route /board/");
        Thread.sleep(3000);
        Http.Listener board = new Http.Listener((r, o, s) -> serve(bench, r, o, "board-1"));
        Map<String, Object> entry = Bench.entry(board.address, "a", "ready", System.currentTimeMillis(), 1);
        entry.put("service", "board");
        bench.store.put("servers", "board-1", entry);
        bench.log("board-1 has started");
        for (int caller = 0; caller < POLLERS; caller++) {
            int number = caller;
            Http.daemon(() -> call(bench, relay, "board", "GET /board/today HTTP/1.1", null, number));
        }
        Thread.sleep(4000);
        int[] before = count("board", 0, Bench.millis());
        bench.log("before, " + before[1] + " of " + before[0] + " were served on the route added later");
        if (bench.trouble) {
            Map<String, Object> foreign = Bench.entry(board.address, "a", "ready", System.currentTimeMillis(), 1);
            foreign.put("service", "inventory-agent");
            bench.store.put("servers", "agent-17", foreign);
            bench.log("another writer has left servers/agent-17: " + Json.write(foreign));
        }
        long from = Bench.millis() + SETTLE_MS;
        Thread.sleep(SETTLE_MS + WATCH_MS);
        long to = Bench.millis() - 4000;
        isOver = true;
        Thread.sleep(500);
        int[] first = count("deduct", from, to);
        int[] later = count("board", from, to);
        bench.log("in steady state, on the first route " + first[1] + " of " + first[0] + " were served; on the route added later "
            + later[1] + " of " + later[0]);
        relay.logLines(12, "endpoint added", "registration ignored", "endpoint removed");
        if (first[0] < 20 || first[1] * 2 < first[0] || later[0] < 20) throw new Bench.CannotRun("too few requests");
        boolean isBroken = (double) later[1] / later[0] < 0.25 * first[1] / first[0];
        return isBroken ? "CONFIG: " + later[1] + " of " + later[0] + " on the route added later, " + first[1] + " of "
            + first[0] + " on the first one" : null;
    }
}
