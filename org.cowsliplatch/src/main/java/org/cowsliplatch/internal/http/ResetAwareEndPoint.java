package org.cowsliplatch.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connection that distinguishes a reset by the server from an orderly close.
 *
 * <p>Jetty's own end point reports both as end of stream, so a response without a length that was truncated by a reset would
 * look complete.
 *
 * <p>The kernel reports a reset to one system call only. If that is a write, a later read returns the bytes that are queued
 * and then the end of the stream, as after an orderly close. So a failed write counts as well.
 */
public class ResetAwareEndPoint extends SocketChannelEndPoint {
    /**
     * Message of a write that fails because the server closed its side in order, and reset the connection afterwards.
     *
     * <p>A write to a connection that was reset before any such close fails with another one. Where messages are localized,
     * both count as a reset.
     */
    private static final String WRITE_AFTER_ORDERLY_CLOSE = "Broken pipe";

    /** Makes one step of a system call and of the record of what it shows, so that no other call comes in between. */
    private final Object peerEndLock = new Object();

    private volatile ConnectionEnd peerEnd = ConnectionEnd.NONE;

    /** Creates an end point for a connection that is established. */
    public ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /** Returns how the server ended the connection, as far as it was read or written. */
    public final ConnectionEnd peerEnd() {
        return peerEnd;
    }

    /**
     * Reads bytes into a buffer.
     *
     * @throws IOException if the connection was reset, also if only a write has reported that
     */
    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = read(buffer);
            if (filled > 0) {
                notIdle();
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }

    private int read(ByteBuffer buffer) throws IOException {
        synchronized (peerEndLock) {
            try {
                int filled = getChannel().read(buffer);
                if (filled >= 0) {
                    return filled;
                }
            } catch (ClosedChannelException e) {
                // This side has closed the connection.
                throw e;
            } catch (IOException e) {
                peerEnd = ConnectionEnd.RESET;
                throw e;
            }
            if (peerEnd == ConnectionEnd.RESET) {
                throw new IOException("the server reset the connection while it was written to");
            }
            peerEnd = ConnectionEnd.CLOSED;
            return -1;
        }
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        synchronized (peerEndLock) {
            try {
                return super.flush(buffers);
            } catch (IOException e) {
                if (peerEnd == ConnectionEnd.NONE && isCausedByReset(e)) {
                    peerEnd = ConnectionEnd.RESET;
                }
                throw e;
            }
        }
    }

    /** Returns whether a failure of a write refutes that the server has closed the connection in order. */
    private static boolean isCausedByReset(IOException failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return !(cause instanceof ClosedChannelException) && !WRITE_AFTER_ORDERLY_CLOSE.equals(cause.getMessage());
    }
}
