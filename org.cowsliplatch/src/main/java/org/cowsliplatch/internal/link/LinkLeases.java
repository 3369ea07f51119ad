package org.cowsliplatch.internal.link;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.platform.TableService;
import org.cowsliplatch.settings.Settings;

/** The leases of all links from and to the region of this entry instance, sized by recent use. */
public final class LinkLeases {
    private static final long PERIOD_MS = 3_000;
    private static final double BITS_PER_BYTE = 8;
    /** Units asked for beyond recent use, as a factor, so that a growing flow is not held back for long. */
    private static final double HEADROOM = 1.5;

    private final Settings settings;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final Map<LinkId, LinkLease> leases = new ConcurrentHashMap<>();
    private final Map<LinkId, Long> chargedBefore = new TreeMap<>(java.util.Comparator.comparing(LinkId::key));
    private long beforeNanos;

    /**
     * Creates leases that hold nothing.
     *
     * @param settings links and region
     * @param rows table service
     * @param self owner and incarnation
     * @param ticker clock
     * @param random source of jitter
     */
    public LinkLeases(Settings settings, TableService rows, String self, Ticker ticker, RandomGenerator random) {
        this.settings = settings;
        this.ticker = ticker;
        this.random = random;
        this.beforeNanos = ticker.nanos();
        for (Settings.Link link : settings.links()) {
            boolean ours = link.from().equals(settings.region()) || link.to().equals(settings.region());
            if (ours) {
                LinkId id = new LinkId(link.from(), link.to());
                leases.put(id, new LinkLease(rows, id, self, ticker));
            }
        }
    }

    /** Returns the units leased of a link now. */
    public int units(LinkId link) {
        LinkLease lease = leases.get(link);
        return lease == null ? 0 : lease.units();
    }

    /** Renews the leases by the use since the last call; blocks on one read of the store for each link, used or not. */
    public void step(LinkPacer pacer) {
        long now = ticker.nanos();
        double seconds = Math.max(0.001, (now - beforeNanos) / 1e9);
        beforeNanos = now;
        leases.forEach((link, lease) -> {
            long charged = pacer.charged(link);
            long before = chargedBefore.getOrDefault(link, 0L);
            chargedBefore.put(link, charged);
            double bits = (charged - before) * BITS_PER_BYTE / seconds;
            lease.step(wanted(link, bits));
        });
    }

    /** Returns the time in ms to wait before the next step. */
    public long nextDelayMs() {
        return PERIOD_MS / 2 + random.nextLong(PERIOD_MS);
    }

    private int wanted(LinkId link, double bits) {
        long cap = settings.linkCap(link.from(), link.to());
        double own = LinkShares.staticBits(cap, settings.maxEntries());
        if (bits < own / 2) {
            return 0;
        }
        double unit = LinkShares.leasedBits(cap, 1);
        return (int) Math.min(LinkShares.UNITS, Math.ceil((bits * HEADROOM - own) / unit) + 1);
    }
}
