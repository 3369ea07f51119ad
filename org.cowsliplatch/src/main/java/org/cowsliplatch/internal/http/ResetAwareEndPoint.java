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
 */
public class ResetAwareEndPoint extends SocketChannelEndPoint {
    private volatile ConnectionEnd peerEnd = ConnectionEnd.NONE;

    /** Creates an end point for a connection that is established. */
    public ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /** Returns how the server ended the connection, as far as it was read. */
    public final ConnectionEnd peerEnd() {
        return peerEnd;
    }

    /**
     * Reads bytes into a buffer.
     *
     * @throws IOException if the connection was reset
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
        try {
            int filled = getChannel().read(buffer);
            if (filled < 0) {
                peerEnd = ConnectionEnd.CLOSED;
            }
            return filled;
        } catch (ClosedChannelException e) {
            // This side has closed the connection.
            throw e;
        } catch (IOException e) {
            peerEnd = ConnectionEnd.RESET;
            throw e;
        }
    }
}
