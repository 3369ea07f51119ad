package org.cowsliplatch.entry;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.internal.entry.RunningEntry;
import org.cowsliplatch.platform.PlatformServices;
import org.cowsliplatch.settings.Settings;

/** A running entry instance, which serves callers, cooperates with its peers and offers the administration API. */
public final class EntryInstance implements AutoCloseable {
    private final RunningEntry running;

    private EntryInstance(RunningEntry running) {
        this.running = running;
    }

    /**
     * Starts an entry instance.
     *
     * @param settings checked settings
     * @param platform services of the platform
     * @throws EntryStartException if a listener can't be bound
     */
    public static EntryInstance start(Settings settings, PlatformServices platform) throws EntryStartException {
        return new EntryInstance(RunningEntry.start(settings, platform));
    }

    /** Returns the address for callers, with the port that was bound. */
    public InetSocketAddress callerAddress() {
        return running.callerAddress();
    }

    /** Returns the address for peers, with the port that was bound. */
    public InetSocketAddress peerAddress() {
        return running.peerAddress();
    }

    /** Returns the address for operators, with the port that was bound. */
    public InetSocketAddress adminAddress() {
        return running.adminAddress();
    }

    /** Returns whether requests are served: the newest table version known is in force and no planned stop has begun. */
    public boolean isReady() {
        return running.isReady();
    }

    /** Returns the number of the table version in force. */
    public long tableVersion() {
        return running.tables().number();
    }

    /** Returns the number of bytes of all frames sent to peers since the start. */
    public long peerBytesSent() {
        return running.peerBytesSent();
    }

    /**
     * Begins a planned stop, which lets requests in flight complete within the limit of the settings; the result
     * completes when everything is closed.
     */
    public CompletableFuture<Void> drain() {
        running.drain();
        return running.stopped();
    }

    /** Completes when everything is closed, after a planned stop or otherwise. */
    public CompletableFuture<Void> stopped() {
        return running.stopped();
    }

    /** Closes everything at once, without a planned stop: requests in flight are aborted. */
    @Override
    public void close() {
        running.close();
    }
}
