package org.cowsliplatch.internal.place;

/**
 * Estimates how many objects an endpoint of a pool caches, from the service times of its requests.
 *
 * <p>An endpoint whose cache holds n objects is fast for an object unless n others or more were handled since. The
 * estimate is the number of objects for which this rule explains most of the service times seen. All endpoints of a pool
 * are taken to have caches of the same size.
 *
 * <p>Guarded by the grantor's lock.
 */
public class CacheSizeEstimator {
    /** Maximum estimate. */
    public static final int MAX_OBJECTS = 64;
    /** Estimate without observations; within seconds it follows what is observed. */
    public static final int INITIAL_OBJECTS = 16;

    /** Number of objects since the last use of one up to which it is taken to be cached still. */
    private static final int MAX_CERTAIN_DISTANCE = 3;
    /** Number of service times of each kind without which they are not told apart. */
    private static final int MIN_SAMPLES = 8;
    /** Ratio of warm to cold service time above which the pool is taken to have no caches. */
    private static final double MAX_WARM_TO_COLD_RATIO = 0.7;
    /** Weight of the assumption that the initial estimate is right, in observations for each distance. */
    private static final double PRIOR = 0.5;
    /** Number of observations after which their weight is halved, so that later ones can change the estimate. */
    private static final double MAX_OBSERVATIONS = 2_000;

    /** Number of observations from which the estimate is passed on. */
    private static final int MIN_OBSERVATIONS = 50;

    private final int initialObjects;
    private final boolean inherited;
    private final LogMean warm = new LogMean();
    private final LogMean cold = new LogMean();
    /** Fast runs less slow runs, by the number of objects since the last use. */
    private final double[] evidence = new double[MAX_OBJECTS];

    private double observations;

    /** Exponentially weighted mean of the logarithm, on which the few runs that take very long have little weight. */
    private static final class LogMean {
        private static final double MIN_GAIN = 1.0 / 64;

        private double mean;
        private int samples;

        void add(double value) {
            samples++;
            mean += Math.max(MIN_GAIN, 1.0 / samples) * (Math.log(value) - mean);
        }
    }

    /** Creates an estimator that begins with {@link #INITIAL_OBJECTS}. */
    public CacheSizeEstimator() {
        this.initialObjects = INITIAL_OBJECTS;
        this.inherited = false;
    }

    /**
     * Creates an estimator that begins with the estimate of another grantor of the pool.
     *
     * @param estimate number of objects, from 1 to {@link #MAX_OBJECTS}; the nearest of these for any other
     */
    public CacheSizeEstimator(int estimate) {
        this.initialObjects = Math.max(1, Math.min(MAX_OBJECTS, estimate));
        this.inherited = true;
    }

    /**
     * Records the service time of a successful run.
     *
     * @param distance number of other objects that the endpoint handled since it last handled the object, or
     *     {@link RecentObjects#UNKNOWN_DISTANCE}
     * @param nanos service time in ns
     */
    public void add(int distance, double nanos) {
        if (nanos <= 0) {
            return;
        }
        if (distance == RecentObjects.UNKNOWN_DISTANCE) {
            cold.add(nanos);
            return;
        }
        if (distance <= MAX_CERTAIN_DISTANCE) {
            warm.add(nanos);
        }
        if (distance < MAX_OBJECTS && isDistinct()) {
            evidence[distance] += Math.log(nanos) < (warm.mean + cold.mean) / 2 ? 1 : -1;
            observations++;
            if (observations > MAX_OBSERVATIONS) {
                halve();
            }
        }
    }

    /** Returns the estimated number of objects that an endpoint caches. */
    public int objects() {
        int best = 1;
        double sum = 0;
        double bestSum = Double.NEGATIVE_INFINITY;
        for (int distance = 0; distance < MAX_OBJECTS; distance++) {
            sum += evidence[distance] + (distance < initialObjects ? PRIOR : -PRIOR);
            if (sum > bestSum) {
                bestSum = sum;
                best = distance + 1;
            }
        }
        return best;
    }

    /** Returns whether the estimate rests on enough observations, here or earlier, to be passed on. */
    public boolean isReliable() {
        return inherited || observations >= MIN_OBSERVATIONS;
    }

    private boolean isDistinct() {
        return warm.samples >= MIN_SAMPLES
                && cold.samples >= MIN_SAMPLES
                && warm.mean < cold.mean + Math.log(MAX_WARM_TO_COLD_RATIO);
    }

    private void halve() {
        observations /= 2;
        for (int i = 0; i < evidence.length; i++) {
            evidence[i] /= 2;
        }
    }
}
