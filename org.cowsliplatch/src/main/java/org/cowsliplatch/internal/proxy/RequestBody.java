package org.cowsliplatch.internal.proxy;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentSourceRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/** Body of a caller's request: held in memory if short, otherwise streamed once. */
sealed interface RequestBody {
    /** Returns whether the body can be sent (again). */
    boolean isSendable();

    /**
     * Returns the content for one attempt, or null if there is none.
     *
     * @param type media type, or null
     * @param pace pace of the way to the backend server, or null in the home region
     */
    Request.@Nullable Content content(@Nullable String type, @Nullable Pace pace);

    /** A short body. */
    record Held(byte[] bytes) implements RequestBody {
        @Override
        public boolean isSendable() {
            return true;
        }

        @Override
        public Request.@Nullable Content content(@Nullable String type, @Nullable Pace pace) {
            if (pace != null) {
                pace.charge(bytes.length, () -> {});
            }
            return bytes.length == 0 ? null : new BytesRequestContent(type == null ? "" : type, bytes);
        }
    }

    /** A long body, which flows from the caller to the backend server under back-pressure. */
    final class Streamed implements RequestBody {
        private final Content.Source source;
        private boolean taken;

        Streamed(Content.Source source) {
            this.source = source;
        }

        @Override
        public boolean isSendable() {
            return !taken;
        }

        @Override
        public Request.Content content(@Nullable String type, @Nullable Pace pace) {
            Content.Source taken = new TakenOnRead();
            Content.Source flow = pace == null ? taken : new PacedSource(taken, pace);
            return new ContentSourceRequestContent(flow, type == null ? "" : type);
        }

        /** Notes the first read: from then on the body can't be sent again. */
        private final class TakenOnRead implements Content.Source {
            @Override
            public long getLength() {
                return source.getLength();
            }

            @Override
            public Content.@Nullable Chunk read() {
                Content.Chunk chunk = source.read();
                if (chunk != null && chunk.hasRemaining()) {
                    taken = true;
                }
                return chunk;
            }

            @Override
            public void demand(Runnable demandCallback) {
                source.demand(demandCallback);
            }

            @Override
            public void fail(Throwable failure) {
                if (taken) {
                    source.fail(failure);
                }
            }
        }
    }
}
