package org.cowsliplatch.internal.steer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.GroupLoad;
import org.cowsliplatch.internal.util.Ticker;

/**
 * Free slots of other regions, as their grantors reported them, and how many of them this entry instance may take.
 *
 * <p>Each report may be used once, for an equal part of what is free; a report that is not fresh gives none.
 * So all entry instances that see the same free region at once can't overload it together.
 */
public final class Headroom {
    private static final long FRESH_NANOS = 2_000_000_000L;
    /** Requests for each free slot that may be sent between two reports where a slot serves about one in that time. */
    public static final double CONSERVATIVE_REQUESTS_PER_FREE_SLOT = 0.5;
    /** The same where the grantor refuses at once what has no slot, and a slot serves several in that time. */
    public static final double AGGRESSIVE_REQUESTS_PER_FREE_SLOT = 3;

    private static final class Report {
        final long atNanos;
        final boolean overloaded;
        double left;

        Report(long atNanos, boolean overloaded, double left) {
            this.atNanos = atNanos;
            this.overloaded = overloaded;
            this.left = left;
        }
    }

    private final Ticker ticker;
    private final double perFreeSlot;
    private final Map<GroupId, Report> reports = new ConcurrentHashMap<>();

    /**
     * Creates a board without reports.
     *
     * @param perFreeSlot requests for each free slot that all entry instances together may send between two reports
     */
    public Headroom(Ticker ticker, double perFreeSlot) {
        this.perFreeSlot = perFreeSlot;
        this.ticker = ticker;
    }

    /**
     * Takes a report over.
     *
     * @param group group of endpoints
     * @param load load of it
     * @param entries entry instances among which the headroom is divided
     */
    public void report(GroupId group, GroupLoad load, int entries) {
        double usable = load.waiting() > 0 ? 0 : load.free() * perFreeSlot / Math.max(1, entries);
        Report before = reports.get(group);
        // Fractions add up over reports, so that a small region is not closed to all for ever.
        double carried = before == null || usable == 0 ? 0 : Math.min(1, before.left);
        reports.put(group, new Report(ticker.nanos(), load.waiting() > load.slots(), usable + carried));
    }

    /** Returns whether more requests wait for a group than it has slots, by a report known to be fresh. */
    public boolean isOverloaded(GroupId group) {
        Report report = reports.get(group);
        return report != null && report.overloaded && ticker.nanos() - report.atNanos <= FRESH_NANOS;
    }

    /** Takes one slot of headroom in a group; returns whether there was any that is known to be fresh. */
    public boolean tryTake(GroupId group) {
        Report report = reports.get(group);
        if (report == null || ticker.nanos() - report.atNanos > FRESH_NANOS) {
            return false;
        }
        synchronized (report) {
            if (report.left < 1) {
                return false;
            }
            report.left--;
            return true;
        }
    }

    /** Returns the region among some with headroom for a pool, and takes one slot of it. */
    public Optional<String> tryTakeAny(String pool, Iterable<String> regions) {
        for (String region : regions) {
            if (tryTake(new GroupId(pool, region))) {
                return Optional.of(region);
            }
        }
        return Optional.empty();
    }
}
