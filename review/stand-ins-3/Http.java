import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets, for stand-ins and callers. */
final class Http {
    private Http() {}

    /** One message; header names are in lower case. */
    static final class Message {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Answers one request; an exception closes the connection without an answer. */
        void handle(Message request, Connection connection) throws Exception;
    }

    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        final long openedAt = System.nanoTime();

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = new BufferedOutputStream(socket.getOutputStream());
        }

        void answer(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }

        /** Closes with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException ignored) {
            }
        }
    }

    /** Reads one message; null at the end of the connection before its first byte. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        Message message = new Message();
        String line = line(in);
        if (line == null) return null;
        message.first = line;
        while (!(line = need(line(in))).isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.merge(
                line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim(), (a, b) -> a + ", " + b);
        }
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(need(line(in)).split(";")[0].trim(), 16);
                if (size == 0) break;
                body.write(exactly(in, size));
                need(line(in));
            }
            while (!need(line(in)).isEmpty()) continue;
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = exactly(in, Integer.parseInt(length));
        } else if (isAnswer) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new IOException("the connection ended inside a body");
        return bytes;
    }

    private static String need(String line) throws IOException {
        if (line == null) throw new IOException("the connection ended inside a message");
        return line;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) {
                if (bytes.size() == 0) return null;
                throw new IOException("the connection ended inside a line");
            }
            if (b != '\r') bytes.write(b);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** A listener with a thread for each connection; it can be closed and opened again at the same address. */
    static final class Listener {
        private final Handler handler;
        private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
        private InetSocketAddress address;
        private volatile ServerSocket listener;

        Listener(String ip, Handler handler) throws IOException {
            this.handler = handler;
            address = new InetSocketAddress(InetAddress.getByName(ip), 0);
            open();
        }

        String address() {
            return address.getAddress().getHostAddress() + ":" + address.getPort();
        }

        void open() throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(address, 256);
            address = new InetSocketAddress(address.getAddress(), socket.getLocalPort());
            listener = socket;
            start(() -> accept(socket));
        }

        /** Closes the listener and resets all connections. */
        void close() {
            try {
                listener.close();
            } catch (IOException ignored) {
            }
            connections.forEach(Connection::reset);
        }

        private void accept(ServerSocket socket) {
            while (!socket.isClosed()) {
                try {
                    Connection connection = new Connection(socket.accept());
                    connections.add(connection);
                    start(() -> serve(connection));
                } catch (IOException e) {
                    if (socket.isClosed()) return;
                }
            }
        }

        private void serve(Connection connection) {
            try {
                Message request;
                while ((request = read(connection.in, false)) != null) handler.handle(request, connection);
            } catch (Exception ignored) {
                // The peer has closed the connection, or the handler breaks it off.
            } finally {
                connections.remove(connection);
                try {
                    connection.socket.close();
                } catch (IOException ignored) {
                }
            }
        }
    }

    static Thread start(Runnable task) {
        Thread thread = new Thread(null, task, "worker", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sends one request over a new connection and returns the answer; throws if there is no complete one. */
    static Message call(String address, String head, byte[] body, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
            if (answer == null) throw new IOException("the connection ended without an answer");
            return answer;
        }
    }
}
