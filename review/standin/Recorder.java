package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: one line for each event, with the time in s since the start of the case. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(String event, String who, String requestId, String text) {
        double at = (System.nanoTime() - startNanos) / 1e9;
        out.println(String.format(Locale.ROOT, "%8.3f %-9s %-10s %-8s %s", at, event, who, requestId, text));
    }

    synchronized void note(String text) {
        line("note", "-", "-", text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
