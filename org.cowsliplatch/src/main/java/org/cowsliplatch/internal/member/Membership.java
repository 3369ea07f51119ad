package org.cowsliplatch.internal.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowsliplatch.internal.util.Ticker;

/** Which entry instances were heard of lately; safe for use by several threads. */
public final class Membership {
    /** Silence after which an entry instance counts as dead. */
    public static final long DEAD_AFTER_NANOS = 2_400_000_000L;

    private static final class Heard {
        Member member;
        long atNanos;

        Heard(Member member, long atNanos) {
            this.member = member;
            this.atNanos = atNanos;
        }
    }

    private final String self;
    private final Ticker ticker;
    private final Map<String, Heard> heard = new HashMap<>();
    /** The peers by name, replaced by each change: it is read far more often than they change. */
    private volatile List<Member> peers = List.of();

    /**
     * Creates a membership without peers.
     *
     * @param self name of this entry instance; what peers say under it is passed over
     * @param ticker clock
     */
    public Membership(String self, Ticker ticker) {
        this.self = self;
        this.ticker = ticker;
    }

    /** Takes a peer's description over; returns whether it is new or differs. */
    public synchronized boolean update(Member member) {
        if (member.name().equals(self)) {
            return false;
        }
        long now = ticker.nanos();
        Heard known = heard.get(member.name());
        if (known == null) {
            heard.put(member.name(), new Heard(member, now));
            list();
            return true;
        }
        known.atNanos = now;
        if (known.member.equals(member)) {
            return false;
        }
        known.member = member;
        list();
        return true;
    }

    /** Notes a sign of life; returns whether the peer's description is known. */
    public synchronized boolean markAlive(String name) {
        Heard known = heard.get(name);
        if (known == null) {
            return false;
        }
        known.atNanos = ticker.nanos();
        return true;
    }

    /** Forgets peers that were silent for too long, and returns them. */
    public synchronized List<Member> expire() {
        long now = ticker.nanos();
        List<Member> gone = new ArrayList<>();
        for (Heard peer : List.copyOf(heard.values())) {
            if (now - peer.atNanos > DEAD_AFTER_NANOS) {
                heard.remove(peer.member.name());
                gone.add(peer.member);
            }
        }
        if (!gone.isEmpty()) {
            list();
        }
        return gone;
    }

    /** Forgets a peer that said it is gone. */
    public synchronized void remove(String name) {
        heard.remove(name);
        list();
    }

    /** Returns the peers heard of lately, by name. */
    public List<Member> peers() {
        return peers;
    }

    private void list() {
        peers = heard.values().stream()
                .map(peer -> peer.member)
                .sorted(Comparator.comparing(Member::name))
                .toList();
    }

    /** Returns the peer with a name if it was heard of lately. */
    public synchronized Optional<Member> peer(String name) {
        return Optional.ofNullable(heard.get(name)).map(peer -> peer.member);
    }
}
