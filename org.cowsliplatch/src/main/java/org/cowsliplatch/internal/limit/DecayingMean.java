package org.cowsliplatch.internal.limit;

/** Exponentially weighted moving average, over time, of a value that changes in steps. */
final class DecayingMean {
    private final double tauNanos;
    private double mean;
    private double value;
    private long updatedNanos;

    DecayingMean(double tauNanos, long nowNanos) {
        this.tauNanos = tauNanos;
        this.updatedNanos = nowNanos;
    }

    void set(long nowNanos, double newValue) {
        advance(nowNanos);
        value = newValue;
    }

    double mean(long nowNanos) {
        advance(nowNanos);
        return mean;
    }

    private void advance(long nowNanos) {
        long elapsed = nowNanos - updatedNanos;
        if (elapsed <= 0) {
            return;
        }
        mean = value + (mean - value) * Math.exp(-elapsed / tauNanos);
        updatedNanos = nowNanos;
    }
}
