package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 on plain sockets: a listener for stand-ins and a connection for callers. */
final class Http {
    private Http() {}

    /** A request or a response. */
    static final class Message {
        String line;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        /** Whether the body ended as its head says. */
        boolean complete;

        String header(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        String method() {
            return line.split(" ")[0];
        }

        String uri() {
            return line.split(" ")[1];
        }

        String path() {
            String uri = uri();
            int q = uri.indexOf('?');
            return q < 0 ? uri : uri.substring(0, q);
        }

        String query(String name) {
            int q = uri().indexOf('?');
            if (q < 0) return null;
            for (String part : uri().substring(q + 1).split("&")) {
                if (part.startsWith(name + "=")) return part.substring(name.length() + 1);
            }
            return null;
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    interface Handler {
        /** Answers a request on [out]; returns whether the connection stays open. */
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** Listens on a free loopback port. */
    static final class Listener {
        final ServerSocket socket;
        final String address;

        Listener(Handler handler) throws IOException {
            this(0, handler);
        }

        Listener(int port, Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
            address = "127.0.0.1:" + socket.getLocalPort();
            daemon(() -> accept(handler));
        }

        private void accept(Handler handler) {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    daemon(() -> serve(connection, handler));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private static void serve(Socket connection, Handler handler) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream(), 16384);
                OutputStream out = connection.getOutputStream();
                while (true) {
                    Message request = read(in, false, false);
                    if (request == null || !handler.handle(request, out, connection)) return;
                }
            } catch (Exception e) {
                // The peer has closed the connection, or the stand-in has ended it.
            }
        }
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(null, action, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) >= 0) {
            if (c == '\n') {
                String result = text.toString(StandardCharsets.ISO_8859_1);
                return result.endsWith("\r") ? result.substring(0, result.length() - 1) : result;
            }
            text.write(c);
        }
        return null;
    }

    /** Reads one message; null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean isResponse, boolean headOnly) throws IOException {
        Message message = new Message();
        message.line = line(in);
        if (message.line == null) return null;
        String header;
        while ((header = line(in)) != null && !header.isEmpty()) {
            int colon = header.indexOf(':');
            message.headers.add(new String[] {header.substring(0, colon).trim(), header.substring(colon + 1).trim()});
        }
        if (header == null) throw new IOException("head cut off");
        if (headOnly) return message;
        String length = message.header("Content-Length");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            while (true) {
                String size = line(in);
                if (size == null) break;
                int n = Integer.parseInt(size.trim(), 16);
                byte[] part = in.readNBytes(n);
                body.write(part);
                if (part.length < n || line(in) == null) break;
                if (n == 0) {
                    message.complete = true;
                    break;
                }
            }
        } else if (length != null) {
            int n = Integer.parseInt(length);
            byte[] all = in.readNBytes(n);
            body.write(all);
            message.complete = all.length == n;
        } else if (isResponse && message.status() != 204 && message.status() != 304) {
            body.write(in.readAllBytes());
            message.complete = true;
        } else {
            message.complete = true;
        }
        message.body = body.toByteArray();
        return message;
    }

    static void write(OutputStream out, String firstLine, byte[] body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder(firstLine).append("\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
        head.append("\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        if (body == null || body.length == 0) {
            out.write(start);
        } else {
            byte[] all = new byte[start.length + body.length];
            System.arraycopy(start, 0, all, 0, start.length);
            System.arraycopy(body, 0, all, start.length, body.length);
            out.write(all);
        }
        out.flush();
    }

    /** A consumer's kept connection. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(String address, int timeoutMillis) throws IOException {
            socket = new Socket();
            int colon = address.indexOf(':');
            int port = Integer.parseInt(address.substring(colon + 1));
            socket.connect(new InetSocketAddress(address.substring(0, colon), port), 1000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 16384);
            out = socket.getOutputStream();
        }

        Message call(String firstLine, byte[] body, String... headers) throws IOException {
            write(out, firstLine, body, headers);
            return read(in, true, false);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }
}
