package org.cowsliplatch.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connection that is used for more than one request, whose reset ends it in the same way as an orderly close.
 *
 * <p>Jetty closes a failed connection only while a request is assigned to it; an idle one would stay in the pool. So whether
 * a response was complete has to be read from {@link #peerEnd}.
 */
final class PooledEndPoint extends ResetAwareEndPoint {
    PooledEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        try {
            return super.fill(buffer);
        } catch (ClosedChannelException e) {
            throw e;
        } catch (IOException e) {
            shutdownInput();
            return -1;
        }
    }
}
