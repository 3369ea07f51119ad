package org.cowsliplatch.internal.telemetry;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines to a stream on a dedicated thread.
 *
 * <p>Callers never block: if the queue is full because the reader of the stream is slow or has stopped, lines are
 * dropped and counted.
 */
public final class LineWriter implements AutoCloseable {
    /** Capacity of the queue; at about 400 bytes a line it takes at most 2 MB. */
    private static final int MAX_QUEUED_LINES = 4_096;
    /** Time in ms over which lines are batched into one write. */
    private static final long BATCH_MS = 40;
    /** Time in ms that closing waits for the remaining lines; also the interval at which the thread checks for it. */
    private static final long CLOSE_TIMEOUT_MS = 200;

    private final PrintStream out;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean closed;

    private LineWriter(PrintStream out) {
        this.out = out;
    }

    /** Creates a writer and starts its thread. */
    public static LineWriter start(PrintStream out) {
        LineWriter writer = new LineWriter(out);
        writer.thread.setDaemon(true);
        writer.thread.start();
        return writer;
    }

    /** Queues a line, given without line terminator; does not block. */
    public void write(String line) {
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of lines dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    /** Writes the queued lines, for a limited time. */
    @Override
    public void close() {
        closed = true;
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        StringBuilder batch = new StringBuilder();
        try {
            while (!closed || !lines.isEmpty()) {
                String line = lines.poll(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                if (line == null) {
                    continue;
                }
                if (!closed) {
                    Thread.sleep(BATCH_MS);
                }
                batch.setLength(0);
                while (line != null) {
                    batch.append(line).append('\n');
                    line = lines.poll();
                }
                out.writeBytes(batch.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
