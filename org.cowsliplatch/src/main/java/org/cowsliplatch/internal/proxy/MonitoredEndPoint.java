package org.cowsliplatch.internal.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/** Connection of a caller that can be checked at any time, by reading ahead, for whether the caller closed it. */
public final class MonitoredEndPoint extends SocketChannelEndPoint {
    private static final int READ_AHEAD_BYTES = 64;

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
