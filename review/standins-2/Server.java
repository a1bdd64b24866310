import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server of the platform for short requests; how it handles connections and requests can be replaced. */
class Server {
    final Lab lab;
    final String id;
    final String service;
    final ServerSocket listener;
    final long born = System.currentTimeMillis();
    final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    volatile String state = "ready";

    Server(Lab lab, String id, String service) throws IOException {
        this(lab, id, service, Lab.listen());
    }

    Server(Lab lab, String id, String service, ServerSocket listener) {
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.listener = listener;
        Lab.daemon(this::accept).start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"z1\",\"version\":\"v1\","
            + "\"slots\":6,\"state\":\"" + state + "\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":" + born + "}";
    }

    void register() {
        lab.store.put("servers", id, entry());
        lab.log("server " + id + " registers: " + service + " at " + address() + ", " + state);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                if (accepts(socket)) Lab.daemon(() -> serve(socket)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Returns whether the connection is served; otherwise this has closed it. */
    boolean accepts(Socket socket) throws IOException {
        connections.add(socket);
        return true;
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (!request.complete()) return;
                handle(request, socket.getOutputStream());
            }
        } catch (IOException e) {
            // The caller has left.
        } finally {
            onEnd(socket);
        }
    }

    void onEnd(Socket socket) {
        connections.remove(socket);
    }

    void handle(Http.Message request, OutputStream out) throws IOException {
        String attempt = request.header("X-Oriolespindle-Attempt-Id");
        String expected = request.header("X-Oriolespindle-Expect-Instance");
        if (attempt == null) {
            out.write(answer(400, "Bad Request", "X-Oriolespindle-Not-Executed: 1\r\n", ""));
        } else if (expected != null && !expected.equals(id)) {
            lab.log("server " + id + " answers 421 to " + attempt + ", which expects " + expected);
            out.write(answer(421, "Misdirected Request", echo(attempt) + "X-Oriolespindle-Not-Executed: 1\r\n", ""));
        } else {
            run(request, attempt, out);
        }
    }

    void run(Http.Message request, String attempt, OutputStream out) throws IOException {
        lab.log("server " + id + " runs " + attempt + ": " + shortened(request.start()));
        Lab.sleep(5);
        out.write(answer(200, "OK", echo(attempt) + "X-Oriolespindle-Server-Signature: s." + attempt + "\r\n", "done " + attempt));
    }

    static String shortened(String text) {
        return text.length() <= 60 ? text : text.substring(0, 50) + "... (" + text.length() + " bytes)";
    }

    static String echo(String attempt) {
        return "X-Oriolespindle-Attempt-Id: " + attempt + "\r\n";
    }

    static byte[] answer(int status, String reason, String headers, String body) {
        return ("HTTP/1.1 " + status + " " + reason + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes();
    }
}
