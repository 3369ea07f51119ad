package org.cowsliplatch.internal.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.Membership;
import org.cowsliplatch.internal.once.KeyDesk;
import org.cowsliplatch.internal.once.KeyLedger;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerSender;
import org.cowsliplatch.internal.proxy.CallerHandler;
import org.cowsliplatch.internal.util.Rendezvous;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.settings.Settings;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Steps of a planned stop: wait until callers know, finish what runs, hand the keys over.
 *
 * <p>Each call of {@link #advance} does what can be done now; the keys of a domain go to one successor only.
 */
final class PlannedStop {
    /** Time in ms between two calls of {@link #advance}. */
    static final long STEP_MS = 50;

    private static final Logger LOG = Logger.getLogger(PlannedStop.class);
    private static final int RECORDS_PER_PART = 64;
    private static final long SEND_AGAIN_NANOS = 500_000_000L;

    private final Settings.Limits limits;
    private final Ticker ticker;
    private final KeyDesk keys;
    private final PeerSender peers;
    private final Membership membership;
    private final CallerHandler callers;
    private final Set<String> taken = new HashSet<>();
    private long beganNanos = Long.MIN_VALUE;
    private long sentNanos = Long.MIN_VALUE;
    private @Nullable String successor;

    PlannedStop(
            Settings.Limits limits,
            Ticker ticker,
            KeyDesk keys,
            PeerSender peers,
            Membership membership,
            CallerHandler callers) {
        this.limits = limits;
        this.ticker = ticker;
        this.keys = keys;
        this.peers = peers;
        this.membership = membership;
        this.callers = callers;
    }

    /** Does the next step; returns whether the stop is complete. */
    synchronized boolean advance() {
        long now = ticker.nanos();
        if (beganNanos == Long.MIN_VALUE) {
            beganNanos = now;
        }
        long elapsed = now - beganNanos;
        if (elapsed > limits.stop().toNanos()) {
            LOG.warnf("planned stop took longer than the limit; %d requests are cut", callers.inFlight());
            return true;
        }
        if (elapsed < limits.lookupTtl().toNanos()) {
            return false;
        }
        return handOver(now) && callers.inFlight() == 0;
    }

    /** Notes that a peer took the keys of a domain over. */
    synchronized void taken(String from, String domain) {
        if (from.equals(successor) && taken.add(domain)) {
            keys.ledger(domain).ifPresent(ledger -> ledger.movedTo(from));
        }
    }

    private boolean handOver(long now) {
        String target = chooseSuccessor();
        if (target == null) {
            return true;
        }
        List<String> domains = new ArrayList<>(keys.adoptedDomains());
        domains.add(keys.domain());
        boolean idle = true;
        for (String domain : domains) {
            idle &= keys.ledger(domain).map(KeyLedger::freeze).orElse(true);
        }
        if (!idle) {
            return false;
        }
        if (taken.containsAll(domains)) {
            return true;
        }
        if (now - sentNanos > SEND_AGAIN_NANOS || sentNanos == Long.MIN_VALUE) {
            sentNanos = now;
            domains.forEach(domain -> keys.ledger(domain).ifPresent(ledger -> send(target, domain, ledger)));
        }
        return false;
    }

    /** Returns the one peer that takes the keys, or null if there is none. */
    private @Nullable String chooseSuccessor() {
        if (successor == null) {
            List<String> candidates = membership.peers().stream()
                    .filter(member -> !member.leaving() && member.tableVersion() > 0)
                    .map(Member::name)
                    .toList();
            Optional<String> chosen = Rendezvous.owner(keys.domain(), candidates);
            successor = chosen.orElse(null);
        }
        return successor;
    }

    private void send(String target, String domain, KeyLedger ledger) {
        if (taken.contains(domain)) {
            return;
        }
        List<KeyLedger.Exported> records = ledger.export();
        long ageNanos = ledger.issuer().ageNanos();
        byte[] secret = ledger.issuer().secret();
        int from = 0;
        do {
            int to = Math.min(records.size(), from + RECORDS_PER_PART);
            boolean last = to == records.size();
            peers.send(target, new PeerMessage.KeysHandOver(domain, secret, ageNanos, records.subList(from, to), last));
            from = to;
        } while (from < records.size());
    }
}
