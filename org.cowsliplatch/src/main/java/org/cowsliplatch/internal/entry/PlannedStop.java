package org.cowsliplatch.internal.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.Membership;
import org.cowsliplatch.internal.once.KeyLedger;
import org.cowsliplatch.internal.once.KeyLedgerRegistry;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerSender;
import org.cowsliplatch.internal.proxy.CallerHandler;
import org.cowsliplatch.internal.proxy.ServingWindow;
import org.cowsliplatch.internal.util.Rendezvous;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.settings.Settings;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Planned stop: serves until the callers' look-ups have expired, hands the idempotency keys over to a successor, and ends
 * when no request is in flight.
 *
 * <p>Each call of {@link #advance} does what is possible at that time. The keys of a domain go to one successor only.
 */
final class PlannedStop {
    /** Time in ms between two calls of {@link #advance}. */
    static final long STEP_MS = 50;

    private static final Logger LOG = Logger.getLogger(PlannedStop.class);
    private static final int MAX_RECORDS_PER_MESSAGE = 64;
    private static final long RESEND_NANOS = 500_000_000L;

    private final Settings.Limits limits;
    private final Ticker ticker;
    private final KeyLedgerRegistry keys;
    private final PeerSender peers;
    private final Membership membership;
    private final CallerHandler callerHandler;
    private final Set<String> acknowledgedDomains = new HashSet<>();
    private long startNanos;
    private long sentNanos = Long.MIN_VALUE;
    private @Nullable String successor;
    private boolean refusesAll;

    PlannedStop(
            Settings.Limits limits,
            Ticker ticker,
            KeyLedgerRegistry keys,
            PeerSender peers,
            Membership membership,
            CallerHandler callerHandler) {
        this.limits = limits;
        this.ticker = ticker;
        this.keys = keys;
        this.peers = peers;
        this.membership = membership;
        this.callerHandler = callerHandler;
    }

    /** Begins the stop. */
    synchronized void begin() {
        startNanos = ticker.nanos();
        Duration serving = limits.stop().minus(GracefulStop.RESPONSE_TIME);
        callerHandler.leave(ServingWindow.until(startNanos + serving.toNanos()));
    }

    /** Advances the stop as far as possible now; returns whether it is complete or has exceeded its limit. */
    synchronized boolean advance() {
        long nowNanos = ticker.nanos();
        long elapsedNanos = nowNanos - startNanos;
        if (elapsedNanos > limits.stop().toNanos()) {
            LOG.warnf("planned stop exceeded its time limit; aborting %d requests in flight", callerHandler.inFlight());
            return true;
        }
        if (elapsedNanos < limits.lookupTtl().toNanos()) {
            return false;
        }
        if (!handOver(nowNanos) || callerHandler.inFlight() > 0) {
            return false;
        }
        if (!refusesAll) {
            // A request that arrives while the listeners close would be cut off; the next call finds those begun
            // before.
            refusesAll = true;
            callerHandler.leave(ServingWindow.until(nowNanos));
            return false;
        }
        return true;
    }

    /** Records a peer's acknowledgement that it took over the keys of a domain. */
    synchronized void onKeysTaken(String from, String domain) {
        if (from.equals(successor) && acknowledgedDomains.add(domain)) {
            keys.ledger(domain).ifPresent(ledger -> ledger.completeHandOver(from));
        }
    }

    private boolean handOver(long nowNanos) {
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
        if (acknowledgedDomains.containsAll(domains)) {
            return true;
        }
        if (nowNanos - sentNanos > RESEND_NANOS || sentNanos == Long.MIN_VALUE) {
            sentNanos = nowNanos;
            domains.forEach(domain -> keys.ledger(domain).ifPresent(ledger -> send(target, domain, ledger)));
        }
        return false;
    }

    /** Returns the peer that takes over the keys, or null if there is none; a chosen peer is never replaced. */
    private @Nullable String chooseSuccessor() {
        if (successor == null) {
            List<String> candidates = membership.peers().stream()
                    .filter(member -> member.isActive() && member.tableVersion() > 0)
                    .map(Member::name)
                    .toList();
            Optional<String> chosen = Rendezvous.owner(keys.domain(), candidates);
            successor = chosen.orElse(null);
        }
        return successor;
    }

    private void send(String target, String domain, KeyLedger ledger) {
        if (acknowledgedDomains.contains(domain)) {
            return;
        }
        List<KeyLedger.ExportedRecord> records = ledger.export();
        long ageNanos = ledger.issuer().ageNanos();
        byte[] secret = ledger.issuer().secret();
        int from = 0;
        do {
            int to = Math.min(records.size(), from + MAX_RECORDS_PER_MESSAGE);
            boolean last = to == records.size();
            peers.send(target, new PeerMessage.KeysHandOver(domain, secret, ageNanos, records.subList(from, to), last));
            from = to;
        } while (from < records.size());
    }
}
