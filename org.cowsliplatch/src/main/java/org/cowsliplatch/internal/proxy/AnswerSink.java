package org.cowsliplatch.internal.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes an answer to the caller and, for a request with a key, keeps a copy.
 *
 * <p>With a key, a caller that went away does not end the answer: it is read to its end and recorded.
 */
final class AnswerSink implements Content.Sink {
    /** Longest answer that is recorded. */
    static final int MOST_KEPT_BYTES = 256 * 1024;

    private final Response response;
    private final boolean keeps;
    private final @Nullable Pace pace;
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private boolean overflow;
    private volatile boolean callerGone;

    AnswerSink(Response response, boolean keeps, @Nullable Pace pace) {
        this.response = response;
        this.keeps = keeps;
        this.pace = pace;
    }

    @Override
    public void write(boolean last, @Nullable ByteBuffer buffer, Callback callback) {
        if (pace == null || buffer == null || !buffer.hasRemaining()) {
            writeNow(last, buffer, callback);
            return;
        }
        // The backend server's next chunk is read only after this one was written, so a wait here slows it down.
        pace.charge(buffer.remaining(), () -> writeNow(last, buffer, callback));
    }

    private void writeNow(boolean last, @Nullable ByteBuffer buffer, Callback callback) {
        if (keeps && buffer != null) {
            keep(buffer);
        }
        if (callerGone) {
            callback.succeeded();
            return;
        }
        if (!keeps) {
            response.write(last, buffer, callback);
            return;
        }
        response.write(last, buffer, Callback.from(callback::succeeded, failure -> {
            callerGone = true;
            callback.succeeded();
        }));
    }

    /** Returns the whole answer, or null if it was too long to keep. */
    byte @Nullable [] kept() {
        return overflow ? null : kept.toByteArray();
    }

    /** Returns whether the caller could not be written to. */
    boolean isCallerGone() {
        return callerGone;
    }

    private void keep(ByteBuffer buffer) {
        if (overflow || kept.size() + buffer.remaining() > MOST_KEPT_BYTES) {
            overflow = true;
            kept.reset();
            return;
        }
        byte[] bytes = BufferUtil.toArray(buffer);
        kept.write(bytes, 0, bytes.length);
    }
}
