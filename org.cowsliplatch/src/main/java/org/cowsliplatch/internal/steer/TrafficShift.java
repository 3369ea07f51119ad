package org.cowsliplatch.internal.steer;

import java.util.Map;
import java.util.TreeMap;
import org.cowsliplatch.table.Pool;

/**
 * The way of a pool from one division among regions to another.
 *
 * <p>A pure function of accepted changes and the time, so every entry instance follows the same plan, and the loss of
 * any of them changes nothing.
 *
 * @param from shares at the start, 0 to 1, by region
 * @param to shares at the end
 * @param startMs wall-clock time of the acceptance, in ms since 1970
 * @param rampMs time from start to end in ms
 */
public record TrafficShift(Map<String, Double> from, Map<String, Double> to, long startMs, long rampMs) {
    /** Copies the shares. */
    public TrafficShift {
        from = Map.copyOf(from);
        to = Map.copyOf(to);
    }

    /** Returns the plan of a pool that does not move. */
    public static TrafficShift steady(Pool pool) {
        Map<String, Double> shares = shares(pool);
        return new TrafficShift(shares, shares, 0, 0);
    }

    /** Returns the plan after an edit: from wherever the present one stands to the new division. */
    public TrafficShift retargeted(Pool pool, long acceptedAtMs) {
        Map<String, Double> target = shares(pool);
        if (target.equals(to)) {
            return this;
        }
        Map<String, Double> present = new TreeMap<>();
        from.keySet().forEach(region -> present.put(region, share(region, acceptedAtMs)));
        to.keySet().forEach(region -> present.put(region, share(region, acceptedAtMs)));
        return new TrafficShift(present, target, acceptedAtMs, pool.ramp().toMillis());
    }

    /** Returns the share of a region at a moment, 0 to 1. */
    public double share(String region, long nowMs) {
        double start = from.getOrDefault(region, 0.0);
        double end = to.getOrDefault(region, 0.0);
        if (rampMs <= 0 || nowMs >= startMs + rampMs) {
            return end;
        }
        double done = Math.max(0, nowMs - startMs) / (double) rampMs;
        return start + (end - start) * done;
    }

    private static Map<String, Double> shares(Pool pool) {
        Map<String, Double> shares = new TreeMap<>();
        pool.regionWeights().keySet().forEach(region -> shares.put(region, pool.share(region)));
        return shares;
    }
}
