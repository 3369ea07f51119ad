package org.cowsliplatch.internal.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicReference;
import org.cowsliplatch.internal.http.ResetAwareEndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connection to a backend server that counts what it reads, and that closes if bytes arrive before a request was sent.
 *
 * <p>Jetty's parser takes bytes that arrive before the request for an unsolicited response and drops all that follows,
 * including the response to the request that is sent afterwards.
 */
final class BackendEndPoint extends ResetAwareEndPoint {
    private enum State {
        UNUSED,
        REQUEST_SENT,
        UNSOLICITED_BYTES
    }

    /** Bytes that end the head of a response. */
    private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};

    private final AtomicReference<State> state = new AtomicReference<>(State.UNUSED);
    private volatile long bytesRead;
    private volatile long headBytes;
    private int headEndMatched;

    BackendEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        int filled = super.fill(buffer);
        if (filled > 0) {
            closeIfUnsolicited();
            count(buffer, buffer.limit() - filled, filled);
        }
        return filled;
    }

    // Only one thread at a time reads.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    private void count(ByteBuffer buffer, int start, int length) {
        for (int i = start; headBytes == 0 && i < start + length; i++) {
            if (isHeadEnd(buffer.get(i))) {
                headBytes = bytesRead + i + 1 - start;
            }
        }
        bytesRead += length;
    }

    private boolean isHeadEnd(byte next) {
        if (next == HEAD_END[headEndMatched]) {
            headEndMatched++;
        } else {
            headEndMatched = next == HEAD_END[0] ? 1 : 0;
        }
        return headEndMatched == HEAD_END.length;
    }

    /** Returns the number of bytes read. */
    long bytesRead() {
        return bytesRead;
    }

    /** Returns the length of the head of the first response, or 0 if its end was not read. */
    long headBytes() {
        return headBytes;
    }

    private void closeIfUnsolicited() throws UnsolicitedBytesException {
        if (state.compareAndSet(State.UNUSED, State.UNSOLICITED_BYTES)) {
            UnsolicitedBytesException failure = new UnsolicitedBytesException();
            // Jetty closes a failed connection only while a request is assigned to it.
            close(failure);
            throw failure;
        }
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        if (!state.compareAndSet(State.UNUSED, State.REQUEST_SENT) && state.get() == State.UNSOLICITED_BYTES) {
            throw new UnsolicitedBytesException();
        }
        return super.flush(buffers);
    }

    /** Failure of a connection on which bytes arrived before a request was sent; nothing was sent on it. */
    static final class UnsolicitedBytesException extends IOException {
        UnsolicitedBytesException() {
            super("the server sent bytes before it was sent a request");
        }
    }
}
