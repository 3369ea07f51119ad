package org.cowsliplatch.internal.limit;

import java.util.Collection;
import java.util.List;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerSender;
import org.cowsliplatch.internal.steer.LeavingEndpoints;
import org.cowsliplatch.internal.util.Ticker;

/**
 * Tells the other entry instances which endpoints announced their leaving in a response. Confined to one thread.
 *
 * <p>Messages may be lost and instances may start meanwhile, so each endpoint is told several times. An instance that
 * misses them all learns from its own first response of the endpoint.
 */
final class EndpointLeavingSync {
    /** Time in ns for which an endpoint is told. */
    private static final long REPEAT_NANOS = 5_000_000_000L;
    /** Interval in ns between repetitions. */
    private static final long REPEAT_INTERVAL_NANOS = 1_000_000_000L;
    /** Maximum number of endpoints in one message. */
    private static final int MAX_ENDPOINTS = 256;

    private final Ticker ticker;
    private final PeerSender peers;
    private final LeavingEndpoints leaving;
    private long seenRevision;
    private long seenNanos;
    private long repeatedNanos;

    EndpointLeavingSync(Ticker ticker, PeerSender peers, LeavingEndpoints leaving) {
        this.ticker = ticker;
        this.peers = peers;
        this.leaving = leaving;
        this.seenNanos = ticker.nanos();
        this.repeatedNanos = seenNanos;
    }

    /** Tells new endpoints at once, and recent ones again from time to time. */
    void announce(Collection<String> receivers) {
        // Read first, so that an endpoint that is marked meanwhile is told next time.
        long revision = leaving.revision();
        long now = ticker.nanos();
        if (now - repeatedNanos >= REPEAT_INTERVAL_NANOS) {
            repeatedNanos = now;
            tell(leaving.announcedSince(now - REPEAT_NANOS, MAX_ENDPOINTS), receivers);
        } else if (revision != seenRevision) {
            tell(leaving.announcedSince(seenNanos, MAX_ENDPOINTS), receivers);
        } else {
            return;
        }
        seenRevision = revision;
        seenNanos = now;
    }

    private void tell(List<String> endpointIds, Collection<String> receivers) {
        if (endpointIds.isEmpty()) {
            return;
        }
        PeerMessage message = new PeerMessage.EndpointsLeaving(endpointIds);
        receivers.forEach(receiver -> peers.send(receiver, message));
    }
}
