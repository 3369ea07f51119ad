package org.cowsliplatch.internal.link;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.TableService;
import org.cowsliplatch.settings.Settings;

/** Leases on all links from and to the region of this entry instance, sized by recent traffic. */
public final class LinkLeases {
    /** Mean time in ms between renewals. */
    private static final long PERIOD_MS = 3_000;

    private static final double BITS_PER_BYTE = 8;
    /** Factor by which the demand exceeds recent traffic, so that growing traffic is not throttled for long. */
    private static final double DEMAND_FACTOR = 1.5;

    private final Settings settings;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final Map<LinkId, LinkLease> leases = new ConcurrentHashMap<>();
    private final Map<LinkId, Long> lastChargedBytes = new TreeMap<>(java.util.Comparator.comparing(LinkId::key));
    private long lastStepNanos;

    /**
     * Creates leases that hold nothing.
     *
     * @param settings settings with the links and the region
     * @param rows table service that stores the leases
     * @param self name and incarnation of this entry instance
     * @param ticker clock
     * @param random source of jitter
     */
    public LinkLeases(Settings settings, TableService rows, String self, Ticker ticker, RandomGenerator random) {
        this.settings = settings;
        this.ticker = ticker;
        this.random = random;
        this.lastStepNanos = ticker.nanos();
        for (Settings.Link link : settings.links()) {
            boolean ownRegion =
                    link.from().equals(settings.region()) || link.to().equals(settings.region());
            if (ownRegion) {
                LinkId id = new LinkId(link.from(), link.to());
                leases.put(id, new LinkLease(rows, id, self, ticker));
            }
        }
    }

    /** Returns the units currently leased on a link. */
    public int units(LinkId link) {
        LinkLease lease = leases.get(link);
        return lease == null ? 0 : lease.units();
    }

    /**
     * Renews the leases according to the traffic since the last call. Blocks on at least one read of the store for each
     * link, whether it has traffic or not.
     */
    public void step(LinkPacer pacer) {
        long now = ticker.nanos();
        double seconds = Math.max(0.001, (now - lastStepNanos) / 1e9);
        lastStepNanos = now;
        leases.forEach((link, lease) -> {
            long charged = pacer.chargedBytes(link);
            long before = lastChargedBytes.getOrDefault(link, 0L);
            lastChargedBytes.put(link, charged);
            double bitsPerSecond = (charged - before) * BITS_PER_BYTE / seconds;
            lease.step(demandUnits(link, bitsPerSecond));
        });
    }

    /** Returns the time in ms to wait before the next step. */
    public long nextDelayMs() {
        return PERIOD_MS / 2 + random.nextLong(PERIOD_MS);
    }

    private int demandUnits(LinkId link, double bitsPerSecond) {
        long cap = settings.linkCap(link.from(), link.to());
        double staticBitsPerSecond = LinkShares.staticBitsPerSecond(cap, settings.maxEntries());
        if (bitsPerSecond < staticBitsPerSecond / 2) {
            return 0;
        }
        double unitBitsPerSecond = LinkShares.leasedBitsPerSecond(cap, 1);
        return (int) Math.min(
                LinkShares.UNITS,
                Math.ceil((bitsPerSecond * DEMAND_FACTOR - staticBitsPerSecond) / unitBitsPerSecond) + 1);
    }
}
