package org.cowsliplatch.internal.link;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.internal.util.TokenBucket;
import org.cowsliplatch.settings.Settings;

/**
 * Limits the rate at which this entry instance sends bytes between regions to its share of each link's cap.
 *
 * <p>Bytes are charged when they are transferred rather than estimated in advance; a flow that exceeds the rate waits
 * before its next chunk, so that responses larger than expected cannot exceed the cap. Thread-safe.
 */
public final class LinkPacer {
    private static final double BITS_PER_BYTE = 8;
    /** Burst size, as the time in seconds in which the rate yields as many bytes. */
    private static final double BURST_S = 0.02;
    /** Minimum rate in bytes per second, so that waits stay finite. */
    private static final double MIN_BYTES_PER_SECOND = 1_000;

    private static final class Meter {
        final TokenBucket bucket;
        double bytesPerSecond;
        long chargedBytes;

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
     * @param settings settings with the caps of the links
     * @param ticker clock
     * @param leasedUnits returns the units currently leased on a link
     */
    public LinkPacer(Settings settings, Ticker ticker, ToIntFunction<LinkId> leasedUnits) {
        this.settings = settings;
        this.ticker = ticker;
        this.leasedUnits = leasedUnits;
    }

    /** Returns whether a new flow may start on a link: its cap is not 0, and the bytes charged are within the rate. */
    public boolean mayStartFlow(LinkId link) {
        if (settings.linkCap(link.from(), link.to()) == 0) {
            return false;
        }
        Meter meter = meter(link);
        synchronized (meter) {
            adjust(link, meter);
            return meter.bucket.available() > 0;
        }
    }

    /** Charges bytes to a link; returns the time in ns to wait before sending more. */
    public long charge(LinkId link, long bytes) {
        Meter meter = meter(link);
        synchronized (meter) {
            adjust(link, meter);
            meter.chargedBytes += bytes;
            meter.bucket.take((double) bytes);
            double excess = -meter.bucket.available();
            if (excess <= 0) {
                return 0;
            }
            return (long) (excess / meter.bytesPerSecond * TimeUnit.SECONDS.toNanos(1));
        }
    }

    /** Returns the total number of bytes charged to a link. */
    public long chargedBytes(LinkId link) {
        Meter meter = meter(link);
        synchronized (meter) {
            return meter.chargedBytes;
        }
    }

    private Meter meter(LinkId link) {
        return meters.computeIfAbsent(link, key -> {
            double rate = bytesPerSecond(key);
            return new Meter(new TokenBucket(ticker, rate, rate * BURST_S), rate);
        });
    }

    /** Adjusts the rate to the current lease; done at each use, so that an expired lease no longer counts. */
    private void adjust(LinkId link, Meter meter) {
        double rate = bytesPerSecond(link);
        if (rate != meter.bytesPerSecond) {
            meter.bytesPerSecond = rate;
            meter.bucket.resize(rate, rate * BURST_S);
        }
    }

    private double bytesPerSecond(LinkId link) {
        long cap = settings.linkCap(link.from(), link.to());
        double bitsPerSecond = LinkShares.staticBitsPerSecond(cap, settings.maxEntries())
                + LinkShares.leasedBitsPerSecond(cap, leasedUnits.applyAsInt(link));
        return Math.max(MIN_BYTES_PER_SECOND, bitsPerSecond / BITS_PER_BYTE);
    }
}
