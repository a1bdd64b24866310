import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt of a case; times are milliseconds since the start of the run. */
final class Record {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        String text = now() + " " + String.format(format, values);
        out.println(text);
        System.out.println(text);
    }
}
