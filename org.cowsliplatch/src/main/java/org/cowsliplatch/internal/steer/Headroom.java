package org.cowsliplatch.internal.steer;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.GroupLoad;
import org.cowsliplatch.internal.util.Rendezvous;
import org.cowsliplatch.internal.util.Ticker;

/**
 * Free slots of other regions, as reported by their grantors, and the part of them that this entry instance may use.
 *
 * <p>Each report grants an equal part of the free slots once; an outdated report grants none. Entry instances that see
 * the same free region at the same time therefore cannot overload it together.
 */
public final class Headroom {
    /** Age in ns beyond which a report is outdated. */
    private static final long MAX_REPORT_AGE_NANOS = 2_000_000_000L;
    /** Requests that may be sent per free slot between two reports if a slot serves about one request in that time. */
    public static final double CONSERVATIVE_REQUESTS_PER_FREE_SLOT = 0.5;
    /**
     * Requests that may be sent per free slot between two reports if the grantor immediately refuses requests without a
     * slot, and a slot serves several requests in that time.
     */
    public static final double AGGRESSIVE_REQUESTS_PER_FREE_SLOT = 3;

    private static final class Report {
        final long receivedNanos;
        final boolean overloaded;
        double remaining;

        Report(long receivedNanos, boolean overloaded, double remaining) {
            this.receivedNanos = receivedNanos;
            this.overloaded = overloaded;
            this.remaining = remaining;
        }
    }

    private final Ticker ticker;
    private final double requestsPerFreeSlot;
    private final Map<GroupId, Report> reports = new ConcurrentHashMap<>();

    /**
     * Creates a headroom without reports.
     *
     * @param ticker clock
     * @param requestsPerFreeSlot requests that all entry instances together may send per free slot between two reports
     */
    public Headroom(Ticker ticker, double requestsPerFreeSlot) {
        this.requestsPerFreeSlot = requestsPerFreeSlot;
        this.ticker = ticker;
    }

    /**
     * Records the latest report of a group.
     *
     * @param group group of endpoints
     * @param load reported load of the group
     * @param entries number of entry instances among which the headroom is divided
     */
    public void report(GroupId group, GroupLoad load, int entries) {
        double usable = load.waiting() > 0 ? 0 : load.free() * requestsPerFreeSlot / Math.max(1, entries);
        Report previous = reports.get(group);
        // Carries fractions over from report to report; otherwise no instance could ever use a small region.
        double carried = previous == null || usable == 0 ? 0 : Math.min(1, previous.remaining);
        reports.put(group, new Report(ticker.nanos(), load.waiting() > load.slots(), usable + carried));
    }

    /** Returns whether a group has more waiting requests than slots, according to a report that is not outdated. */
    public boolean isOverloaded(GroupId group) {
        Report report = reports.get(group);
        return report != null && report.overloaded && ticker.nanos() - report.receivedNanos <= MAX_REPORT_AGE_NANOS;
    }

    /** Tries to use one slot of headroom in a group; returns false if there is none or its report is outdated. */
    public boolean tryTake(GroupId group) {
        Report report = reports.get(group);
        if (report == null || ticker.nanos() - report.receivedNanos > MAX_REPORT_AGE_NANOS) {
            return false;
        }
        synchronized (report) {
            if (report.remaining < 1) {
                return false;
            }
            report.remaining--;
            return true;
        }
    }

    /**
     * Uses one slot of headroom of a pool in one of some regions; returns the region, or empty if none has any.
     *
     * @param object object of the request, for which the regions are tried in the same order each time, so that it is
     *     soon cached in one of them
     */
    public Optional<String> tryTakeAny(String pool, String object, Collection<String> regions) {
        for (String region : Rendezvous.order(object, regions)) {
            if (tryTake(new GroupId(pool, region))) {
                return Optional.of(region);
            }
        }
        return Optional.empty();
    }
}
