package org.cowsliplatch.internal.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connection to a backend server that distinguishes a reset from an orderly close, and that closes if bytes arrive
 * before a request was sent.
 *
 * <p>Jetty's own end point reports both ends as end of stream, so a response without a length that was truncated by a
 * reset would look complete. Jetty's parser takes bytes that arrive before the request for an unsolicited response and
 * drops all that follows, including the response to the request that is sent afterwards.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {
    private enum State {
        UNUSED,
        REQUEST_SENT,
        UNSOLICITED_BYTES
    }

    /** Bytes that end the head of a response. */
    private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};

    private final AtomicReference<State> state = new AtomicReference<>(State.UNUSED);
    private volatile ConnectionEnd peerEnd = ConnectionEnd.NONE;
    private volatile long bytesRead;
    private volatile long headBytes;
    private int headEndMatched;

    ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int start = buffer.position();
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                closeIfUnsolicited();
                notIdle();
                count(buffer, start, filled);
            } else if (filled < 0) {
                peerEnd = ConnectionEnd.CLOSED;
                shutdownInput();
            }
            return filled;
        } catch (ClosedChannelException | UnsolicitedBytesException e) {
            throw e;
        } catch (IOException e) {
            peerEnd = ConnectionEnd.RESET;
            throw e;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
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

    /** Returns how the server ended the connection, as far as it was read. */
    ConnectionEnd peerEnd() {
        return peerEnd;
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
