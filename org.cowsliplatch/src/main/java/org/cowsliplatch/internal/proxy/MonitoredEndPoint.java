package org.cowsliplatch.internal.proxy;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jboss.logging.Logger;

/** Connection of a caller that can be checked at any time, by reading ahead, for whether the caller closed it. */
public final class MonitoredEndPoint extends SocketChannelEndPoint {
    private static final Logger LOG = Logger.getLogger(MonitoredEndPoint.class);
    private static final int READ_AHEAD_BYTES = 64;
    /** Value of SO_LINGER for an orderly close. */
    private static final int NO_LINGER = -1;

    private final ByteBuffer readAhead = BufferUtil.allocate(READ_AHEAD_BYTES);
    private final Object readLock = new Object();
    private boolean endOfStream;

    public MonitoredEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /** Returns whether the caller closed the connection; bytes read ahead are buffered for the next {@link #fill}. */
    boolean isClosedByPeer() {
        boolean arrived;
        synchronized (readLock) {
            if (endOfStream || !isOpen()) {
                return true;
            }
            if (readAhead.hasRemaining()) {
                return false;
            }
            try {
                endOfStream = super.fill(readAhead) < 0;
            } catch (IOException e) {
                // A reset ends the connection as well; the server's next read or write fails in the same way.
                endOfStream = true;
            }
            arrived = readAhead.hasRemaining();
        }
        if (arrived && isFillInterested()) {
            getFillInterest().fillable();
        }
        return endOfStream;
    }

    /**
     * Sets whether the end of the connection, for whatever reason, is a reset, which the caller can tell from the end of a
     * complete response.
     */
    void setResetOnClose(boolean reset) {
        try {
            getChannel().setOption(StandardSocketOptions.SO_LINGER, reset ? 0 : NO_LINGER);
        } catch (IOException e) {
            LOG.debugf("connection already closed: %s", e.getMessage());
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (readLock) {
            if (readAhead.hasRemaining()) {
                int copied = BufferUtil.append(buffer, readAhead);
                if (!readAhead.hasRemaining()) {
                    BufferUtil.clear(readAhead);
                }
                return copied;
            }
            return endOfStream ? -1 : super.fill(buffer);
        }
    }

    @Override
    protected void needsFillInterest() {
        boolean readable;
        synchronized (readLock) {
            readable = readAhead.hasRemaining() || endOfStream;
        }
        if (readable) {
            getFillInterest().fillable();
        } else {
            super.needsFillInterest();
        }
    }
}
