package org.cowsliplatch.internal.link;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformException;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.TableService;
import org.jboss.logging.Logger;

/**
 * Lease of this entry instance on units of the capacity of one link.
 *
 * <p>One row of the store contains the units of all holders. Clocks are not synchronized: a holder counts the term of
 * its lease from before it sent the write, and others reclaim its units only after they have seen its holding unchanged
 * for the term plus a margin on their own clock. {@link #step} blocks on the store; {@link #units} may be called by any
 * thread.
 */
public final class LinkLease {
    /** Term of a lease in ns, counted by the holder from before it sends the write. */
    static final long TERM_NANOS = 10_000_000_000L;
    /** Time in ns that others wait beyond the term before they reclaim the units of a holder that did not renew. */
    static final long MARGIN_NANOS = 2_000_000_000L;

    private static final Logger LOG = Logger.getLogger(LinkLease.class);

    /**
     * Units held by one holder.
     *
     * @param holder name and incarnation of the holder
     * @param units number of units
     * @param sequence increases with each write of the holder
     */
    public record Holding(String holder, int units, long sequence) {}

    /**
     * Content of the row of a link.
     *
     * @param holdings holdings of all holders
     */
    public record Holdings(List<Holding> holdings) {
        /** Copies the list. */
        public Holdings {
            holdings = List.copyOf(holdings);
        }
    }

    private record Observation(Holding holding, long sinceNanos) {}

    private record LeasedUnits(int units, long untilNanos) {}

    private final TableService rows;
    private final String key;
    private final String self;
    private final Ticker ticker;
    private final Map<String, Observation> observations = new HashMap<>();
    private long sequence;
    private long sentNanos = Long.MIN_VALUE / 2;
    private volatile LeasedUnits leased;

    /**
     * Creates a lease that holds nothing.
     *
     * @param rows table service that stores the row
     * @param link link
     * @param self name and incarnation of this entry instance
     * @param ticker clock
     */
    public LinkLease(TableService rows, LinkId link, String self, Ticker ticker) {
        this.rows = rows;
        this.key = "link/" + link.key();
        this.self = self;
        this.ticker = ticker;
        this.leased = new LeasedUnits(0, ticker.nanos());
    }

    /** Returns the units that may be used now: none once the term has expired, for instance during a pause. */
    public int units() {
        LeasedUnits current = leased;
        return ticker.nanos() < current.untilNanos() ? current.units() : 0;
    }

    /**
     * Renews the lease, and acquires or releases units according to demand. A failure is logged; the lease then stays
     * as it was until it is renewed or expires.
     *
     * @param demand units that could be used now
     */
    public void step(int demand) {
        try {
            Optional<TableService.Row> row = rows.read(key);
            Holdings holdings = row.isEmpty()
                    ? new Holdings(List.of())
                    : Json.read(row.get().value(), Holdings.class);
            observe(holdings);
            adoptUnconfirmedWrite(holdings);
            write(row.map(TableService.Row::revision).orElse(0L), holdings, demand);
        } catch (RowChangedException e) {
            LOG.debugf("lease %s was not renewed: the row was changed by another holder", key);
        } catch (WriteOutcomeUnknownException e) {
            LOG.debugf("lease %s may not have been renewed: the outcome of the write is unknown", key);
        } catch (PlatformException | IOException e) {
            LOG.debugf("lease %s was not renewed: %s", key, e.getMessage());
        }
    }

    private void observe(Holdings holdings) {
        long now = ticker.nanos();
        for (Holding holding : holdings.holdings()) {
            Observation known = observations.get(holding.holder());
            if (known == null || !known.holding().equals(holding)) {
                observations.put(holding.holder(), new Observation(holding, now));
            }
        }
    }

    /** Adopts the units of an earlier write that took effect although its response was lost. */
    private void adoptUnconfirmedWrite(Holdings holdings) {
        for (Holding holding : holdings.holdings()) {
            // Only the latest write counts: while its outcome is unknown, it may still take effect and replace this
            // holding.
            boolean latest = holding.holder().equals(self) && holding.sequence() == sequence;
            if (latest && sentNanos + TERM_NANOS > leased.untilNanos()) {
                leased = new LeasedUnits(holding.units(), sentNanos + TERM_NANOS);
            }
        }
    }

    private void write(long revision, Holdings holdings, int demand)
            throws RowChangedException, PlatformUnavailableException, WriteOutcomeUnknownException {
        long now = ticker.nanos();
        List<Holding> others = new ArrayList<>();
        int takenByOthers = 0;
        boolean listed = false;
        for (Holding holding : holdings.holdings()) {
            if (holding.holder().equals(self)) {
                listed = true;
            } else if (!isExpired(holding, now)) {
                others.add(holding);
                takenByOthers += holding.units();
            }
        }
        int units = Math.min(demand, fairShare(takenByOthers, others.size()));
        if (demand == 0 && !listed) {
            return;
        }
        if (units < leased.units()) {
            // Reduces the units before the write: others may acquire the released ones as soon as it takes effect.
            leased = new LeasedUnits(units, leased.untilNanos());
        }
        sequence++;
        sentNanos = now;
        List<Holding> all = new ArrayList<>(others);
        if (demand > 0) {
            // Listed even without units, so that others reduce theirs on their next renewal.
            all.add(new Holding(self, units, sequence));
        }
        rows.write(List.of(new TableService.Write(key, revision, Json.text(new Holdings(all)))));
        leased = new LeasedUnits(units, now + TERM_NANOS);
    }

    /**
     * Returns the units that this holder may have: all free units if there is no other holder; otherwise an equal part,
     * or half of the free units if that is more, but never more than are free. Holders above their part shrink on
     * renewal.
     */
    private static int fairShare(int takenByOthers, int others) {
        int free = Math.max(0, LinkShares.UNITS - takenByOthers);
        int equal = LinkShares.UNITS / (others + 1);
        return others == 0 ? free : Math.min(free, Math.max(equal, free / 2));
    }

    private boolean isExpired(Holding holding, long now) {
        Observation known = observations.get(holding.holder());
        return known != null && now - known.sinceNanos() > TERM_NANOS + MARGIN_NANOS;
    }
}
