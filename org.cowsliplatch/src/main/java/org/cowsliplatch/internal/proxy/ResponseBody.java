package org.cowsliplatch.internal.proxy;

import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/** Body of a backend server's response, with the number of bytes that were read. */
final class ResponseBody implements Content.Source {
    private final Content.Source source;
    private volatile long bytes;

    ResponseBody(Content.Source source) {
        this.source = source;
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
        Content.Chunk chunk = source.read();
        if (chunk != null && !Content.Chunk.isFailure(chunk)) {
            bytes += chunk.remaining();
        }
        return chunk;
    }

    @Override
    public void demand(Runnable demandCallback) {
        source.demand(demandCallback);
    }

    @Override
    public void fail(Throwable failure) {
        source.fail(failure);
    }
}
