package org.cowsliplatch.internal.proxy;

import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/** Content source that charges its bytes to a link between regions and delays the next chunk to keep within its rate. */
final class PacedSource implements Content.Source {
    private final Content.Source source;
    private final FlowPacer pacer;
    private long delayNanos;

    PacedSource(Content.Source source, FlowPacer pacer) {
        this.source = source;
        this.pacer = pacer;
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
            long delay = pacer.links().charge(pacer.link(), chunk.remaining());
            delayNanos = chunk.isLast() ? 0 : delay;
        }
        return chunk;
    }

    @Override
    public void demand(Runnable demandCallback) {
        long delay = delayNanos;
        delayNanos = 0;
        pacer.runAfter(delay, () -> source.demand(demandCallback));
    }

    @Override
    public void fail(Throwable failure) {
        source.fail(failure);
    }
}
