package org.cowsliplatch.internal.member;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.cowsliplatch.internal.util.Ticker;

/**
 * Phase of this entry instance; thread-safe.
 *
 * <p>An entry instance that has started must not take itself for the only holder of a duty before it knows all others that
 * are running. It knows them once each listed peer has either described itself or refused the connection. As a peer
 * describes itself to an instance that it has heard of, of two that start at the same time at least one waits for the
 * other. A peer that is connected but silent is waited for until it would be considered dead.
 */
public final class MemberLifecycle {
    private final Ticker ticker;
    private final Set<String> settled = new HashSet<>();
    private final Set<String> pending = new HashSet<>();
    private boolean listed;
    private long listedNanos;
    private volatile MemberPhase phase = MemberPhase.JOINING;

    /** Creates the lifecycle of an entry instance that has read no list of peers yet. */
    public MemberLifecycle(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns the present phase. */
    public MemberPhase phase() {
        return phase;
    }

    /** Returns whether the other entry instances are not known yet. */
    public boolean isJoining() {
        return phase == MemberPhase.JOINING;
    }

    /** Returns whether the instance takes over duties for others. */
    public boolean isActive() {
        return phase == MemberPhase.ACTIVE;
    }

    /**
     * Sets the peers to wait for; later lists have no effect.
     *
     * @param peerAddresses peer addresses of the other entry instances
     */
    public synchronized void listed(Collection<String> peerAddresses) {
        if (listed) {
            return;
        }
        listed = true;
        listedNanos = ticker.nanos();
        pending.addAll(peerAddresses);
        pending.removeAll(settled);
    }

    /** Records that a peer has described itself or could not be connected to. */
    public synchronized void settle(String peerAddress) {
        settled.add(peerAddress);
        pending.remove(peerAddress);
    }

    /** Becomes active if the other entry instances are known now; returns whether it has become active by this call. */
    public synchronized boolean tryJoin() {
        boolean known = listed && (pending.isEmpty() || ticker.nanos() - listedNanos > Membership.DEAD_AFTER_NANOS);
        if (!known || phase != MemberPhase.JOINING) {
            return false;
        }
        phase = MemberPhase.ACTIVE;
        return true;
    }

    /** Begins a planned stop; returns false if it had begun before. */
    public synchronized boolean leave() {
        boolean begun = phase == MemberPhase.LEAVING;
        phase = MemberPhase.LEAVING;
        return !begun;
    }
}
