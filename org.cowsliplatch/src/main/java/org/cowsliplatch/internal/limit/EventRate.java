package org.cowsliplatch.internal.limit;

/** Rate of events, as an exponentially decaying mean; guarded by the lock of the grantor. */
final class EventRate {
    private static final double TIME_CONSTANT_NANOS = 2e9;
    private static final double NANOS_PER_SECOND = 1e9;

    private double perNano;
    private long updatedNanos;

    EventRate(long now) {
        updatedNanos = now;
    }

    void add(long now) {
        decay(now);
        perNano += 1 / TIME_CONSTANT_NANOS;
    }

    double perSecond(long now) {
        decay(now);
        return perNano * NANOS_PER_SECOND;
    }

    private void decay(long now) {
        perNano *= Math.exp((updatedNanos - now) / TIME_CONSTANT_NANOS);
        updatedNanos = now;
    }
}
