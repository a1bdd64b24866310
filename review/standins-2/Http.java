import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a connection. */
final class Http {
    private Http() {}

    /** One message; complete says whether its body ended as its framing promised. */
    record Message(String start, Map<String, String> headers, byte[] body, boolean complete) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Returns the next message; null if the connection was closed before its first byte. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
            if (line == null) throw new EOFException("head cut off");
            int at = line.indexOf(':');
            headers.put(line.substring(0, at).trim().toLowerCase(), line.substring(at + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = readBody(in, start, headers, body);
        return new Message(start, headers, body.toByteArray(), complete);
    }

    private static boolean readBody(InputStream in, String start, Map<String, String> headers, ByteArrayOutputStream body)
        throws IOException {
        try {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) return false;
                    int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (count == 0) {
                        line(in);
                        return true;
                    }
                    byte[] bytes = in.readNBytes(count);
                    body.write(bytes);
                    if (bytes.length < count) return false;
                    line(in);
                }
            }
            String length = headers.get("content-length");
            if (length != null) {
                byte[] bytes = in.readNBytes(Integer.parseInt(length));
                body.write(bytes);
                return bytes.length == Integer.parseInt(length);
            }
            if (start.startsWith("HTTP/")) body.write(in.readAllBytes());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            bytes.write(b);
        }
        if (bytes.size() > 0) throw new EOFException("line cut off");
        return null;
    }
}
