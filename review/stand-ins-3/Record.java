import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** Writes record.txt of a case; times are milliseconds since the start of the run. */
final class Record {
    private static final long START = System.nanoTime();
    private final PrintWriter out;
    private final Map<Long, Map<String, Integer>> counts = new TreeMap<>();

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

    /** Counts [what] in the current second, for runs with too many requests for a line each. */
    synchronized void count(String what) {
        counts.computeIfAbsent(now() / 1_000, ignored -> new TreeMap<>()).merge(what, 1, Integer::sum);
    }

    /** Writes a line for each second with its counts. */
    synchronized void writeCounts() {
        counts.forEach((second, values) -> line("counted in second %d: %s", second, values));
    }
}
