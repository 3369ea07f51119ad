package org.cowsliplatch.internal.steer;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Tables;

/** The traffic shifts of all pools; immutable. */
public final class TrafficShifts {
    /** Shifts of no pools. */
    public static final TrafficShifts NONE = new TrafficShifts(Map.of());

    private final Map<String, TrafficShift> byPool;

    private TrafficShifts(Map<String, TrafficShift> byPool) {
        this.byPool = Collections.unmodifiableMap(byPool);
    }

    /**
     * Returns the shifts after new tables take effect.
     *
     * @param tables new tables
     * @param acceptedAtMs wall-clock time of their acceptance in ms since 1970, or 0 if unknown; the new shares then
     *     apply at once
     */
    public TrafficShifts after(Tables tables, long acceptedAtMs) {
        Map<String, TrafficShift> shifts = new TreeMap<>();
        for (Pool pool : tables.pools().values()) {
            TrafficShift current = byPool.get(pool.name());
            if (current == null || acceptedAtMs <= 0) {
                shifts.put(pool.name(), TrafficShift.steady(pool));
            } else {
                shifts.put(pool.name(), current.retargeted(pool, acceptedAtMs));
            }
        }
        return new TrafficShifts(shifts);
    }

    /** Returns the share of a region in a pool at a point in time, from 0 to 1. */
    public double share(Pool pool, String region, long nowMs) {
        TrafficShift shift = byPool.get(pool.name());
        return shift == null ? pool.share(region) : shift.share(region, nowMs);
    }
}
