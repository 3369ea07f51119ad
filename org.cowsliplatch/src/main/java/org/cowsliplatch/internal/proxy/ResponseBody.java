package org.cowsliplatch.internal.proxy;

import java.io.IOException;
import java.util.function.Supplier;
import org.cowsliplatch.internal.http.BodyFraming;
import org.cowsliplatch.internal.http.ConnectionEnd;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/**
 * Body of a backend server's response that ends only if there is evidence that it is complete, and fails otherwise.
 *
 * <p>The evidence is that of its framing: all bytes of its length, or the last chunk, which the HTTP parser has read. A body
 * that ends with its connection is complete if the server closed the connection in order, and sent no second response on it.
 */
final class ResponseBody implements Content.Source {
    private final Content.Source source;
    private final BodyFraming framing;
    private final long declaredBytes;
    private final Supplier<ConnectionEnd> connectionEnd;
    private final SecondResponseDetector secondResponse = new SecondResponseDetector();
    private volatile long bytes;
    private @Nullable IOException failure;

    /**
     * Creates a body.
     *
     * @param declaredBytes length that the response names, -1 if it names none
     * @param connectionEnd how the server has ended the connection by now
     */
    ResponseBody(
            Content.Source source, BodyFraming framing, long declaredBytes, Supplier<ConnectionEnd> connectionEnd) {
        this.source = source;
        this.framing = framing;
        this.declaredBytes = declaredBytes;
        this.connectionEnd = connectionEnd;
    }

    /** Returns the number of bytes read so far. */
    long bytes() {
        return bytes;
    }

    @Override
    public long getLength() {
        return source.getLength();
    }

    // Only one thread at a time reads a source.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    @Override
    public Content.@Nullable Chunk read() {
        if (failure != null) {
            return Content.Chunk.from(failure, true);
        }
        Content.Chunk chunk = source.read();
        if (chunk == null || Content.Chunk.isFailure(chunk)) {
            return chunk;
        }
        bytes += chunk.remaining();
        failure = incompleteness(chunk);
        if (failure == null) {
            return chunk;
        }
        chunk.release();
        source.fail(failure);
        return Content.Chunk.from(failure, true);
    }

    /** Returns why the body is not complete, or null if nothing up to this chunk shows that. */
    private @Nullable IOException incompleteness(Content.Chunk chunk) {
        return switch (framing) {
            case NONE, CHUNKS -> null;
            case LENGTH ->
                chunk.isLast() && bytes != declaredBytes
                        ? new IOException("the response ended after " + bytes + " of " + declaredBytes + " bytes")
                        : null;
            case CONNECTION_END -> incompletenessWithoutLength(chunk);
        };
    }

    private @Nullable IOException incompletenessWithoutLength(Content.Chunk chunk) {
        secondResponse.examine(chunk.getByteBuffer());
        if (secondResponse.isFound() || (chunk.isLast() && secondResponse.isFoundOrBegun())) {
            return new SecondResponseException();
        }
        if (chunk.isLast() && connectionEnd.get() != ConnectionEnd.CLOSED) {
            return new IOException("the server had not closed the connection with which the body ends");
        }
        return null;
    }

    @Override
    public void demand(Runnable demandCallback) {
        source.demand(demandCallback);
    }

    @Override
    public void fail(Throwable cause) {
        source.fail(cause);
    }

    /** Failure of a body that ends with its connection, in which a second response follows. */
    static final class SecondResponseException extends IOException {
        SecondResponseException() {
            super("the server sent a second response in a body that ends with the connection");
        }
    }
}
