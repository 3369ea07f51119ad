package org.cowsliplatch.internal.proxy;

import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/** Content source that fails with status 413 once more than a maximum number of bytes has been read. */
final class LimitedSource implements Content.Source {
    private final Content.Source source;
    private final long maxBytes;
    private long readBytes;

    LimitedSource(Content.Source source, long maxBytes) {
        this.source = source;
        this.maxBytes = maxBytes;
    }

    @Override
    public long getLength() {
        return source.getLength();
    }

    @Override
    public Content.@Nullable Chunk read() {
        Content.Chunk chunk = source.read();
        if (chunk == null || Content.Chunk.isFailure(chunk)) {
            return chunk;
        }
        readBytes += chunk.remaining();
        if (readBytes <= maxBytes) {
            return chunk;
        }
        chunk.release();
        Throwable tooLong = new HttpException.RuntimeException(
                HttpStatus.PAYLOAD_TOO_LARGE_413, "request body too long: at most " + maxBytes + " bytes are accepted");
        source.fail(tooLong);
        return Content.Chunk.from(tooLong, true);
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
