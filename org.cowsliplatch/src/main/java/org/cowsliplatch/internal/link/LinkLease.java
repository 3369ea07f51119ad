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
 * This entry instance's part of the leased share of one link.
 *
 * <p>One row holds the units of all holders. No clock is shared: a holder counts the term from before it sent its
 * write; others take its units only after they saw its entry unchanged for the term and a margin on their own clock.
 * {@link #step} blocks on the store; {@link #units} may be called by any thread.
 */
public final class LinkLease {
    /** Time for which a write gives the units. */
    static final long TERM_NANOS = 10_000_000_000L;
    /** Extra time that others wait before they take units of a silent holder. */
    static final long MARGIN_NANOS = 2_000_000_000L;

    private static final Logger LOG = Logger.getLogger(LinkLease.class);

    /**
     * Units of one holder.
     *
     * @param holder owner and incarnation
     * @param units number of units
     * @param sequence rises with each write of the holder
     */
    public record Holding(String holder, int units, long sequence) {}

    /**
     * Content of the row.
     *
     * @param holdings units by holder
     */
    public record Holdings(List<Holding> holdings) {
        /** Copies the list. */
        public Holdings {
            holdings = List.copyOf(holdings);
        }
    }

    private record Seen(Holding holding, long sinceNanos) {}

    private record Mine(int units, long untilNanos) {}

    private final TableService rows;
    private final String key;
    private final String self;
    private final Ticker ticker;
    private final Map<String, Seen> seen = new HashMap<>();
    private long sequence;
    private long sentNanos = Long.MIN_VALUE / 2;
    private volatile Mine mine;

    /**
     * Creates a lease that holds nothing.
     *
     * @param rows table service
     * @param link link
     * @param self owner and incarnation
     * @param ticker clock
     */
    public LinkLease(TableService rows, LinkId link, String self, Ticker ticker) {
        this.rows = rows;
        this.key = "link/" + link.key();
        this.self = self;
        this.ticker = ticker;
        this.mine = new Mine(0, ticker.nanos());
    }

    /** Returns the units that may be used now; a holder that was paused past its term has none. */
    public int units() {
        Mine held = mine;
        return ticker.nanos() < held.untilNanos() ? held.units() : 0;
    }

    /**
     * Renews, enlarges or gives back units.
     *
     * @param wanted units that would be of use now
     */
    public void step(int wanted) {
        try {
            Optional<TableService.Row> row = rows.read(key);
            Holdings holdings = row.isEmpty()
                    ? new Holdings(List.of())
                    : Json.read(row.get().value(), Holdings.class);
            observe(holdings);
            adoptLostAnswer(holdings);
            write(row.map(TableService.Row::revision).orElse(0L), holdings, wanted);
        } catch (RowChangedException e) {
            LOG.debugf("another holder wrote %s first", key);
        } catch (WriteOutcomeUnknownException e) {
            LOG.debugf("the answer of the store for %s was lost", key);
        } catch (PlatformException | IOException e) {
            LOG.debugf("lease %s was not renewed: %s", key, e.getMessage());
        }
    }

    private void observe(Holdings holdings) {
        long now = ticker.nanos();
        for (Holding holding : holdings.holdings()) {
            Seen known = seen.get(holding.holder());
            if (known == null || !known.holding().equals(holding)) {
                seen.put(holding.holder(), new Seen(holding, now));
            }
        }
    }

    /** Takes units over that an earlier write got without its answer arriving. */
    private void adoptLostAnswer(Holdings holdings) {
        for (Holding holding : holdings.holdings()) {
            // A later write may still take effect; until it is settled, the row can change under this holder.
            boolean latest = holding.holder().equals(self) && holding.sequence() == sequence;
            if (latest && sentNanos + TERM_NANOS > mine.untilNanos()) {
                mine = new Mine(holding.units(), sentNanos + TERM_NANOS);
            }
        }
    }

    private void write(long revision, Holdings holdings, int wanted)
            throws RowChangedException, PlatformUnavailableException, WriteOutcomeUnknownException {
        long now = ticker.nanos();
        List<Holding> others = new ArrayList<>();
        int taken = 0;
        boolean listed = false;
        for (Holding holding : holdings.holdings()) {
            if (holding.holder().equals(self)) {
                listed = true;
            } else if (!isExpired(holding, now)) {
                others.add(holding);
                taken += holding.units();
            }
        }
        int units = Math.min(wanted, fairShare(taken, others.size()));
        if (wanted == 0 && !listed) {
            return;
        }
        if (units < mine.units()) {
            // Use less at once: others may take the rest as soon as the write takes effect.
            mine = new Mine(units, mine.untilNanos());
        }
        sequence++;
        sentNanos = now;
        List<Holding> all = new ArrayList<>(others);
        if (wanted > 0) {
            // Listed even without units, so that others make room on their next renewal.
            all.add(new Holding(self, units, sequence));
        }
        rows.write(List.of(new TableService.Write(key, revision, Json.text(new Holdings(all)))));
        mine = new Mine(units, now + TERM_NANOS);
    }

    /** Returns the units that are free, or an equal part if others hold more than theirs; they shrink on renewal. */
    private static int fairShare(int takenByOthers, int others) {
        int free = Math.max(0, LinkShares.UNITS - takenByOthers);
        int equal = LinkShares.UNITS / (others + 1);
        return others == 0 ? free : Math.min(free, Math.max(equal, free / 2));
    }

    private boolean isExpired(Holding holding, long now) {
        Seen known = seen.get(holding.holder());
        return known != null && now - known.sinceNanos() > TERM_NANOS + MARGIN_NANOS;
    }
}
