package org.cowsliplatch.internal.steer;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Tables;

/** The plans of all pools; immutable. */
public final class TrafficShifts {
    /** No pools. */
    public static final TrafficShifts NONE = new TrafficShifts(Map.of());

    private final Map<String, TrafficShift> byPool;

    private TrafficShifts(Map<String, TrafficShift> byPool) {
        this.byPool = Collections.unmodifiableMap(byPool);
    }

    /**
     * Returns the plans after tables came into force.
     *
     * @param tables new tables
     * @param acceptedAtMs wall-clock time of their acceptance, or 0 if it is not known: then nothing moves
     */
    public TrafficShifts after(Tables tables, long acceptedAtMs) {
        Map<String, TrafficShift> plans = new TreeMap<>();
        for (Pool pool : tables.pools().values()) {
            TrafficShift present = byPool.get(pool.name());
            if (present == null || acceptedAtMs <= 0) {
                plans.put(pool.name(), TrafficShift.steady(pool));
            } else {
                plans.put(pool.name(), present.retargeted(pool, acceptedAtMs));
            }
        }
        return new TrafficShifts(plans);
    }

    /** Returns the share of a region at a moment, 0 to 1. */
    public double share(Pool pool, String region, long nowMs) {
        TrafficShift plan = byPool.get(pool.name());
        return plan == null ? pool.share(region) : plan.share(region, nowMs);
    }
}
