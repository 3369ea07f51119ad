package org.cowsliplatch.internal.steer;

import java.util.Map;
import java.util.TreeMap;
import org.cowsliplatch.table.Pool;

/**
 * Gradual shift of a pool's traffic from one division among regions to another.
 *
 * <p>The shares are a pure function of the accepted changes and the time, so that all entry instances compute the same
 * shares, and the failure of any of them has no effect.
 *
 * @param from shares by region at the start, from 0 to 1
 * @param to shares by region at the end, from 0 to 1
 * @param startMs wall-clock time at which the change was accepted, in ms since 1970
 * @param rampMs duration of the shift in ms
 */
public record TrafficShift(Map<String, Double> from, Map<String, Double> to, long startMs, long rampMs) {
    /** Copies the shares. */
    public TrafficShift {
        from = Map.copyOf(from);
        to = Map.copyOf(to);
    }

    /** Returns a shift that keeps the current shares of a pool. */
    public static TrafficShift steady(Pool pool) {
        Map<String, Double> shares = shares(pool);
        return new TrafficShift(shares, shares, 0, 0);
    }

    /**
     * Returns the shift after an edit: it starts from the shares at the time of acceptance and ends at the new ones.
     */
    public TrafficShift retargeted(Pool pool, long acceptedAtMs) {
        Map<String, Double> target = shares(pool);
        if (target.equals(to)) {
            return this;
        }
        Map<String, Double> current = new TreeMap<>();
        from.keySet().forEach(region -> current.put(region, share(region, acceptedAtMs)));
        to.keySet().forEach(region -> current.put(region, share(region, acceptedAtMs)));
        return new TrafficShift(current, target, acceptedAtMs, pool.ramp().toMillis());
    }

    /** Returns the share of a region at a point in time, from 0 to 1. */
    public double share(String region, long nowMs) {
        double start = from.getOrDefault(region, 0.0);
        double end = to.getOrDefault(region, 0.0);
        if (rampMs <= 0 || nowMs >= startMs + rampMs) {
            return end;
        }
        double progress = Math.max(0, nowMs - startMs) / (double) rampMs;
        return start + (end - start) * progress;
    }

    private static Map<String, Double> shares(Pool pool) {
        Map<String, Double> shares = new TreeMap<>();
        pool.regionWeights().keySet().forEach(region -> shares.put(region, pool.share(region)));
        return shares;
    }
}
