package org.cowsliplatch.internal.limit;

/** Running estimate of how long an endpoint takes for one request: mean and mean deviation. */
final class ServiceTime {
    private static final double GAIN = 1.0 / 64;
    private static final int WARM_UP = 16;

    private double mean;
    private double deviation;
    private int samples;

    void add(double nanos) {
        samples++;
        double gain = Math.max(GAIN, 1.0 / samples);
        double error = nanos - mean;
        mean += gain * error;
        deviation += gain * (Math.abs(error) - deviation);
    }

    /** Returns the mean in ns, or 0 while too few samples were seen. */
    double mean() {
        return samples < WARM_UP ? 0 : mean;
    }

    /** Returns a time in ns within which about 19 of 20 requests are done, or 0 while too few samples were seen. */
    double upper() {
        return samples < WARM_UP ? 0 : mean + 2.5 * deviation;
    }
}
