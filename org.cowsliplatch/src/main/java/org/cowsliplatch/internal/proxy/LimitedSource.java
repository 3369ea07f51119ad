package org.cowsliplatch.internal.proxy;

import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/** Content that fails once more than a bound has been read. */
final class LimitedSource implements Content.Source {
    private final Content.Source source;
    private final long mostBytes;
    private long bytes;

    LimitedSource(Content.Source source, long mostBytes) {
        this.source = source;
        this.mostBytes = mostBytes;
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
        bytes += chunk.remaining();
        if (bytes <= mostBytes) {
            return chunk;
        }
        chunk.release();
        Throwable tooLong = new HttpException.RuntimeException(
                HttpStatus.PAYLOAD_TOO_LARGE_413, "the request body is longer than " + mostBytes + " bytes");
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
