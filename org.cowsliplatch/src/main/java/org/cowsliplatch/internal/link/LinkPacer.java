package org.cowsliplatch.internal.link;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.internal.util.TokenBucket;
import org.cowsliplatch.settings.Settings;

/**
 * Keeps the bytes that this entry instance moves between regions under its part of each link's cap.
 *
 * <p>Bytes are charged when they are moved, not estimated; a flow that is ahead of the rate waits before its next
 * chunk, so answers larger than expected can't go over. Safe for use by several threads.
 */
public final class LinkPacer {
    private static final double BITS_PER_BYTE = 8;
    /** Time of the rate that may be used at once, in seconds. */
    private static final double BURST_S = 0.02;
    /** Smallest rate, so that a wait stays finite, in bytes per second. */
    private static final double LEAST_RATE = 1_000;

    private static final class Meter {
        final TokenBucket bucket;
        double bytesPerSecond;
        long charged;

        Meter(TokenBucket bucket, double bytesPerSecond) {
            this.bucket = bucket;
            this.bytesPerSecond = bytesPerSecond;
        }
    }

    private final Settings settings;
    private final Ticker ticker;
    private final ToIntFunction<LinkId> leasedUnits;
    private final Map<LinkId, Meter> meters = new ConcurrentHashMap<>();

    /**
     * Creates a pacer.
     *
     * @param settings caps of the links
     * @param ticker clock
     * @param leasedUnits units leased of a link now
     */
    public LinkPacer(Settings settings, Ticker ticker, ToIntFunction<LinkId> leasedUnits) {
        this.settings = settings;
        this.ticker = ticker;
        this.leasedUnits = leasedUnits;
    }

    /** Returns whether a new flow may begin on a link: its earlier bytes are within the rate. */
    public boolean mayBegin(LinkId link) {
        if (settings.linkCap(link.from(), link.to()) == 0) {
            return false;
        }
        Meter meter = meter(link);
        synchronized (meter) {
            adjust(link, meter);
            return meter.bucket.available() > 0;
        }
    }

    /** Charges bytes to a link; returns the time in ns to wait before the next ones. */
    public long charge(LinkId link, long bytes) {
        Meter meter = meter(link);
        synchronized (meter) {
            adjust(link, meter);
            meter.charged += bytes;
            meter.bucket.take((double) bytes);
            double ahead = -meter.bucket.available();
            if (ahead <= 0) {
                return 0;
            }
            return (long) (ahead / meter.bytesPerSecond * TimeUnit.SECONDS.toNanos(1));
        }
    }

    /** Returns the bytes charged to a link so far. */
    public long charged(LinkId link) {
        Meter meter = meter(link);
        synchronized (meter) {
            return meter.charged;
        }
    }

    private Meter meter(LinkId link) {
        return meters.computeIfAbsent(link, key -> {
            double rate = rate(key);
            return new Meter(new TokenBucket(ticker, rate, rate * BURST_S), rate);
        });
    }

    /** Follows the lease, which is read at each use, so that a lapsed one counts no more. */
    private void adjust(LinkId link, Meter meter) {
        double rate = rate(link);
        if (rate != meter.bytesPerSecond) {
            meter.bytesPerSecond = rate;
            meter.bucket.resize(rate, rate * BURST_S);
        }
    }

    private double rate(LinkId link) {
        long cap = settings.linkCap(link.from(), link.to());
        double bits = LinkShares.staticBits(cap, settings.maxEntries())
                + LinkShares.leasedBits(cap, leasedUnits.applyAsInt(link));
        return Math.max(LEAST_RATE, bits / BITS_PER_BYTE);
    }
}
