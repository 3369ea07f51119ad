package org.cowsliplatch.internal.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowsliplatch.internal.util.Ticker;

/** Tracks which peer entry instances are alive by the time of their last message; thread-safe. */
public final class Membership {
    /** Time in ns without a message after which an entry instance is considered dead. */
    public static final long DEAD_AFTER_NANOS = 2_400_000_000L;

    private static final class PeerState {
        Member member;
        long lastSeenNanos;

        PeerState(Member member, long lastSeenNanos) {
            this.member = member;
            this.lastSeenNanos = lastSeenNanos;
        }
    }

    private final String self;
    private final Ticker ticker;
    private final Map<String, PeerState> states = new HashMap<>();
    /** Peers sorted by name; an immutable copy, because reads are far more frequent than changes. */
    private volatile List<Member> peers = List.of();

    /**
     * Creates a membership without peers.
     *
     * @param self name of this entry instance; descriptions under this name are ignored
     * @param ticker clock
     */
    public Membership(String self, Ticker ticker) {
        this.self = self;
        this.ticker = ticker;
    }

    /** Updates the description of a peer and marks it alive; returns whether the description is new or changed. */
    public synchronized boolean update(Member member) {
        if (member.name().equals(self)) {
            return false;
        }
        long now = ticker.nanos();
        PeerState known = states.get(member.name());
        if (known == null) {
            states.put(member.name(), new PeerState(member, now));
            refreshPeers();
            return true;
        }
        known.lastSeenNanos = now;
        if (known.member.equals(member)) {
            return false;
        }
        known.member = member;
        refreshPeers();
        return true;
    }

    /** Records that a peer is alive; returns whether its description is known. */
    public synchronized boolean markAlive(String name) {
        PeerState known = states.get(name);
        if (known == null) {
            return false;
        }
        known.lastSeenNanos = ticker.nanos();
        return true;
    }

    /** Removes and returns the peers that are considered dead. */
    public synchronized List<Member> expire() {
        long now = ticker.nanos();
        List<Member> expired = new ArrayList<>();
        for (PeerState peer : List.copyOf(states.values())) {
            if (now - peer.lastSeenNanos > DEAD_AFTER_NANOS) {
                states.remove(peer.member.name());
                expired.add(peer.member);
            }
        }
        if (!expired.isEmpty()) {
            refreshPeers();
        }
        return expired;
    }

    /** Removes a peer that announced its shutdown. */
    public synchronized void remove(String name) {
        states.remove(name);
        refreshPeers();
    }

    /** Returns the live peers, sorted by name. */
    public List<Member> peers() {
        return peers;
    }

    private void refreshPeers() {
        peers = states.values().stream()
                .map(peer -> peer.member)
                .sorted(Comparator.comparing(Member::name))
                .toList();
    }

    /** Returns the live peer with a name, or empty if there is none. */
    public synchronized Optional<Member> peer(String name) {
        return Optional.ofNullable(states.get(name)).map(peer -> peer.member);
    }
}
