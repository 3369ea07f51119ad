package org.cowsliplatch.internal.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerSender;
import org.cowsliplatch.internal.util.Ticker;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges the rate limits of endpoints with the other entry instances; safe for use by several threads.
 *
 * <p>A holder reports the limit of each response to the grantor with the release of the slot. The grantor tells changes
 * to all instances, so that each of them can replace it.
 */
final class EndpointLimitSync {
    /** Minimum time in ns between two announcements, which bounds them if limits change with each response. */
    private static final long ANNOUNCEMENT_INTERVAL_NANOS = 200_000_000L;
    /** Age in ns of a response whose request is no longer known, which can't raise or end a limit. */
    private static final long OVERTAKEN_NANOS = 3_600_000_000_000L;

    private final Ticker ticker;
    private final PeerSender peers;
    private final EndpointLimits limits;
    private final Map<GroupId, Set<String>> changed = new HashMap<>();
    private long announcedNanos;

    EndpointLimitSync(Ticker ticker, PeerSender peers, EndpointLimits limits) {
        this.ticker = ticker;
        this.peers = peers;
        this.limits = limits;
        this.announcedNanos = ticker.nanos() - ANNOUNCEMENT_INTERVAL_NANOS;
    }

    /**
     * Records what a response says about the limit of an endpoint.
     *
     * @param group group of the endpoint
     * @param endpointId id of the endpoint
     * @param notice what the response says
     * @param grantedNanos time in ns at which its request was granted the slot, or null if that is unknown
     * @param source entry instance that got the response
     */
    void noticed(GroupId group, String endpointId, LimitNotice notice, @Nullable Long grantedNanos, String source) {
        long sentNanos = grantedNanos == null ? ticker.nanos() - OVERTAKEN_NANOS : grantedNanos;
        if (limits.observe(endpointId, notice, sentNanos, source)) {
            synchronized (this) {
                changed.computeIfAbsent(group, key -> new LinkedHashSet<>()).add(endpointId);
            }
        }
    }

    /** Returns the message part that reports a response's limit to the grantor, or empty if it says nothing. */
    static Optional<PeerMessage.EndpointLimit> report(String endpointId, LimitNotice notice) {
        return notice.kind() == LimitNotice.Kind.UNKNOWN
                ? Optional.empty()
                : Optional.of(new PeerMessage.EndpointLimit(endpointId, notice, 0));
    }

    /** Records the limits that another entry instance knows. */
    void learn(String from, Collection<PeerMessage.EndpointLimit> known) {
        long now = ticker.nanos();
        for (PeerMessage.EndpointLimit limit : known) {
            limits.learn(limit.endpointId(), limit.notice(), now - limit.ageNanos(), from);
        }
    }

    /** Returns the limits that are known of some endpoints. */
    List<PeerMessage.EndpointLimit> known(Collection<ListedEndpoint> endpoints) {
        long now = ticker.nanos();
        List<PeerMessage.EndpointLimit> known = new ArrayList<>();
        for (ListedEndpoint listed : endpoints) {
            EndpointLimits.Limit limit = limits.of(listed.endpoint().id());
            if (limit != null) {
                known.add(new PeerMessage.EndpointLimit(
                        listed.endpoint().id(), LimitNotice.named(limit.perSecond()), now - limit.namedNanos()));
            }
        }
        return known;
    }

    /**
     * Sends the limits that have changed since the last announcement.
     *
     * @param hosted groups whose grantor is this entry instance; the limits of others are announced by theirs
     * @param receivers names of the other entry instances
     */
    void announce(Set<GroupId> hosted, Collection<String> receivers) {
        Map<GroupId, Set<String>> due = takeDue();
        long now = ticker.nanos();
        due.forEach((group, endpointIds) -> {
            if (!hosted.contains(group)) {
                return;
            }
            List<PeerMessage.EndpointLimit> news = new ArrayList<>();
            for (String id : endpointIds) {
                EndpointLimits.Limit limit = limits.of(id);
                news.add(
                        limit == null
                                ? new PeerMessage.EndpointLimit(id, LimitNotice.ABSENT, 0)
                                : new PeerMessage.EndpointLimit(
                                        id, LimitNotice.named(limit.perSecond()), now - limit.namedNanos()));
            }
            send(group, news, receivers);
        });
    }

    /** Sends limits of a group, unless there are none. */
    void send(GroupId group, List<PeerMessage.EndpointLimit> known, Collection<String> receivers) {
        if (known.isEmpty()) {
            return;
        }
        for (String receiver : receivers) {
            peers.send(receiver, new PeerMessage.LimitsChanged(group, known));
        }
    }

    private synchronized Map<GroupId, Set<String>> takeDue() {
        long now = ticker.nanos();
        if (changed.isEmpty() || now - announcedNanos < ANNOUNCEMENT_INTERVAL_NANOS) {
            return Map.of();
        }
        announcedNanos = now;
        Map<GroupId, Set<String>> due = new HashMap<>(changed);
        changed.clear();
        return due;
    }
}
