package org.cowsliplatch.internal.proxy;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentSourceRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/** Body of a caller's request: buffered in memory if short, otherwise streamed once. */
sealed interface RequestBody {
    /** Returns whether the body can be sent, or sent again. */
    boolean isSendable();

    /**
     * Returns the content for one attempt, or null if the body is empty.
     *
     * @param type media type, or null if the caller sent none
     * @param pacer pacer of the link to the backend server's region; null if traffic there is not paced
     */
    Request.@Nullable Content content(@Nullable String type, @Nullable FlowPacer pacer);

    /** A body that is buffered in memory and can be sent again. */
    record Buffered(byte[] bytes) implements RequestBody {
        @Override
        public boolean isSendable() {
            return true;
        }

        @Override
        public Request.@Nullable Content content(@Nullable String type, @Nullable FlowPacer pacer) {
            if (pacer != null) {
                pacer.charge(bytes.length, () -> {});
            }
            return bytes.length == 0 ? null : new BytesRequestContent(type == null ? "" : type, bytes);
        }
    }

    /** A body that is streamed from the caller to the backend server under back-pressure. */
    final class Streamed implements RequestBody {
        private final Content.Source source;
        private boolean readStarted;

        Streamed(Content.Source source) {
            this.source = source;
        }

        @Override
        public boolean isSendable() {
            return !readStarted;
        }

        @Override
        public Request.Content content(@Nullable String type, @Nullable FlowPacer pacer) {
            Content.Source tracked = new ReadTrackingSource();
            Content.Source content = pacer == null ? tracked : new PacedSource(tracked, pacer);
            return new ContentSourceRequestContent(content, type == null ? "" : type);
        }

        /** Records the first bytes read, after which the body can't be sent again. */
        private final class ReadTrackingSource implements Content.Source {
            @Override
            public long getLength() {
                return source.getLength();
            }

            @Override
            public Content.@Nullable Chunk read() {
                Content.Chunk chunk = source.read();
                if (chunk != null && chunk.hasRemaining()) {
                    readStarted = true;
                }
                return chunk;
            }

            @Override
            public void demand(Runnable demandCallback) {
                source.demand(demandCallback);
            }

            @Override
            public void fail(Throwable failure) {
                if (readStarted) {
                    source.fail(failure);
                }
            }
        }
    }
}
