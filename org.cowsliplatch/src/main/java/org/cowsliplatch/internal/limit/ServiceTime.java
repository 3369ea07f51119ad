package org.cowsliplatch.internal.limit;

/** Exponentially weighted mean of the service time of requests at endpoints. */
final class ServiceTime {
    private static final double MIN_GAIN = 1.0 / 64;
    private static final int MIN_SAMPLES = 8;

    private double meanNanos;
    private int samples;

    void add(double nanos) {
        samples++;
        double gain = Math.max(MIN_GAIN, 1.0 / samples);
        meanNanos += gain * (nanos - meanNanos);
    }

    /** Returns the mean in ns, or 0 while there are too few samples. */
    double mean() {
        return samples < MIN_SAMPLES ? 0 : meanNanos;
    }
}
