package org.cowsliplatch.internal.limit;

/** Time-weighted mean of a value that changes in steps; older times weigh exponentially less. */
final class DecayingMean {
    private final double tauNanos;
    private double mean;
    private double value;
    private long at;

    DecayingMean(double tauNanos, long now) {
        this.tauNanos = tauNanos;
        this.at = now;
    }

    void set(long now, double newValue) {
        advance(now);
        value = newValue;
    }

    double mean(long now) {
        advance(now);
        return mean;
    }

    private void advance(long now) {
        long elapsed = now - at;
        if (elapsed <= 0) {
            return;
        }
        mean = value + (mean - value) * Math.exp(-elapsed / tauNanos);
        at = now;
    }
}
