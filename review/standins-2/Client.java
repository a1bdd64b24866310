import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One kept connection of a consumer, which sends one request after the other. */
final class Client implements AutoCloseable {
    private final Lab lab;
    private final Socket socket = new Socket();
    private final BufferedInputStream in;
    private int lastStatus;

    Client(Lab lab, int port) throws IOException {
        this.lab = lab;
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and returns the answer; null if the connection ended without a complete one. */
    Http.Message send(String attempt, String method, String target, int deadlineMillis, String headers, String body)
        throws IOException {
        String head = method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\nX-Oriolespindle-Attempt-Id: " + attempt
            + "\r\nX-Oriolespindle-Deadline-Ms: " + deadlineMillis + "\r\n" + headers
            + (body == null ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n";
        socket.setSoTimeout(deadlineMillis + 1000);
        try {
            socket.getOutputStream().write((head + (body == null ? "" : body)).getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(in);
            lastStatus = answer == null ? 0 : answer.status();
            String seen = answer == null ? "connection closed" : answer.status() + (answer.complete() ? "" : ", cut off");
            lab.log("consumer: " + method + " " + Server.shortened(target) + " " + attempt + ", head of " + head.length()
                + " bytes -> " + seen + (answer == null || answer.status() == 200 ? "" : " " + answer.text()));
            return answer == null || !answer.complete() ? null : answer;
        } catch (IOException e) {
            lab.log("consumer: " + method + " " + Server.shortened(target) + " " + attempt + " -> " + e);
            return null;
        }
    }

    /** The status of the last answer, whole or not; 0 if there was none. */
    int lastStatus() {
        return lastStatus;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
