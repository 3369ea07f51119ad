package org.cowsliplatch.internal.proxy;

import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/** Content whose bytes are charged to a link, and whose next chunk waits until the link has room. */
final class PacedSource implements Content.Source {
    private final Content.Source source;
    private final Pace pace;
    private long delayNanos;

    PacedSource(Content.Source source, Pace pace) {
        this.source = source;
        this.pace = pace;
    }

    @Override
    public long getLength() {
        return source.getLength();
    }

    @Override
    public Content.@Nullable Chunk read() {
        if (delayNanos > 0) {
            return null;
        }
        Content.Chunk chunk = source.read();
        if (chunk != null && !Content.Chunk.isFailure(chunk) && chunk.hasRemaining()) {
            long delay = pace.pacer().charge(pace.link(), chunk.remaining());
            delayNanos = chunk.isLast() ? 0 : delay;
        }
        return chunk;
    }

    @Override
    public void demand(Runnable demandCallback) {
        long delay = delayNanos;
        delayNanos = 0;
        pace.runAfter(delay, () -> source.demand(demandCallback));
    }

    @Override
    public void fail(Throwable failure) {
        source.fail(failure);
    }
}
