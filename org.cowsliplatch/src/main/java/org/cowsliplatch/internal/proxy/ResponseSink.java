package org.cowsliplatch.internal.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes a response to the caller and, for a request with an idempotency key, records a copy.
 *
 * <p>While it records, a failed write to the caller does not end the response: it is read to its end and recorded.
 */
final class ResponseSink implements Content.Sink {
    /** Maximum length of a response that is recorded. */
    static final int MAX_RECORDED_BYTES = 256 * 1024;

    private final Response response;
    private final boolean recording;
    private final @Nullable FlowPacer pacer;
    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    private boolean tooLong;
    private volatile boolean callerDisconnected;
    private volatile long bytes;

    ResponseSink(Response response, boolean recording, @Nullable FlowPacer pacer) {
        this.response = response;
        this.recording = recording;
        this.pacer = pacer;
    }

    @Override
    public void write(boolean last, @Nullable ByteBuffer buffer, Callback callback) {
        if (pacer == null || buffer == null || !buffer.hasRemaining()) {
            writeNow(last, buffer, callback);
            return;
        }
        // The next chunk is read only after this one was written, so the delay applies back-pressure to the backend
        // server.
        pacer.charge(buffer.remaining(), () -> writeNow(last, buffer, callback));
    }

    // Only one write is under way at a time.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    private void writeNow(boolean last, @Nullable ByteBuffer buffer, Callback callback) {
        bytes += buffer == null ? 0 : buffer.remaining();
        if (recording && buffer != null) {
            record(buffer);
        }
        if (callerDisconnected) {
            callback.succeeded();
            return;
        }
        if (!recording) {
            response.write(last, buffer, callback);
            return;
        }
        response.write(last, buffer, Callback.from(callback::succeeded, failure -> {
            callerDisconnected = true;
            callback.succeeded();
        }));
    }

    /** Returns the number of bytes handed to the caller's connection. */
    long bytes() {
        return bytes;
    }

    /** Returns the recorded response body, or null if it was longer than {@link #MAX_RECORDED_BYTES}. */
    byte @Nullable [] recordedBytes() {
        return tooLong ? null : recorded.toByteArray();
    }

    /** Returns whether a write to the caller failed while the response was recorded. */
    boolean isCallerDisconnected() {
        return callerDisconnected;
    }

    private void record(ByteBuffer buffer) {
        if (tooLong || recorded.size() + buffer.remaining() > MAX_RECORDED_BYTES) {
            tooLong = true;
            recorded.reset();
            return;
        }
        byte[] bytes = BufferUtil.toArray(buffer);
        recorded.write(bytes, 0, bytes.length);
    }
}
