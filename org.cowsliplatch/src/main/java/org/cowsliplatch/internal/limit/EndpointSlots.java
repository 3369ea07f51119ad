package org.cowsliplatch.internal.limit;

import org.cowsliplatch.internal.place.RecentObjects;
import org.cowsliplatch.platform.Instance;

/** Slots, warm-up and health of one endpoint; guarded by the lock of the grantor. */
final class EndpointSlots {
    private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;
    /** Weight of the latest use in the moving average of failures. */
    private static final double FAILURE_GAIN = 0.2;
    /** Moving average of failures above which an endpoint may be ejected. */
    private static final double MAX_FAILURE_SHARE = 0.5;

    /** Failure share assumed after several consecutive failures, before the moving average has caught up. */
    private static final double CONSECUTIVE_FAILURE_SHARE = 0.75;

    private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
    private static final long MAX_EJECTION_NANOS = 30_000_000_000L;
    private static final long SHED_BACKOFF_NANOS = 250_000_000L;

    private final Endpoint endpoint;
    private final int buckets;
    private final int slots;
    private final long firstSeenNanos;
    private final WarmUp warmUp;
    private final RatePacer pacer;
    private final RecentObjects recentObjects = new RecentObjects();
    private long coldUntilNanos = Instance.WARM;
    private boolean suspended;
    private double failureMean;
    private int outstanding;
    private int consecutiveFailures;
    private int ejections;
    private long ejectedUntilNanos = Long.MIN_VALUE;
    private long shedUntilNanos = Long.MIN_VALUE;
    private boolean leaving;
    private boolean removed;
    /** Bucket in the {@link EndpointSet}, or -1. */
    int bucket = -1;
    /** Index in the bucket, or -1. */
    int index = -1;

    /**
     * Limits on an endpoint during its warm-up.
     *
     * @param rampNanos time from its first appearance until all its slots may be used; 0 for none
     * @param coldPerSecond rate limit in requests per second while it is listed as cold; 0 if unknown
     */
    record WarmUp(long rampNanos, double coldPerSecond) {}

    /**
     * Creates the slots of an endpoint.
     *
     * @param listed the endpoint
     * @param buckets maximum number of slots of an endpoint of the pool
     * @param firstSeenNanos time in ns at which the endpoint was first listed
     * @param warmUp limits during its warm-up
     * @param pacer paces its requests at the rate limit that it has named
     */
    EndpointSlots(ListedEndpoint listed, int buckets, long firstSeenNanos, WarmUp warmUp, RatePacer pacer) {
        this.endpoint = listed.endpoint();
        this.buckets = buckets;
        this.slots = listed.slots() == 0 ? buckets : Math.min(buckets, listed.slots());
        this.firstSeenNanos = firstSeenNanos;
        this.warmUp = warmUp;
        this.pacer = pacer;
    }

    RatePacer pacer() {
        return pacer;
    }

    /**
     * Applies the present rate limits.
     *
     * @param share share of the limits that may be used here, from 0 to 1
     */
    void refreshPacer(double share, long now) {
        pacer.refresh(share, isCold(now) ? warmUp.coldPerSecond() : Double.POSITIVE_INFINITY);
    }

    /** Updates the state of the endpoint from the instance list. */
    void update(ListedEndpoint listed) {
        coldUntilNanos = listed.coldUntilNanos();
        suspended = listed.suspended();
        if (listed.leaving()) {
            leaving = true;
        }
    }

    /** Returns the objects that the endpoint handled most recently. */
    RecentObjects recentObjects() {
        return recentObjects;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    int outstanding() {
        return outstanding;
    }

    boolean isLeaving() {
        return leaving;
    }

    boolean isRemoved() {
        return removed;
    }

    /** Returns whether the endpoint is neither leaving nor suspended, regardless of its health. */
    boolean isInRotation() {
        return !leaving && !suspended;
    }

    /** Marks the endpoint as leaving, which is final for its incarnation. */
    void leave() {
        leaving = true;
    }

    /** Marks the endpoint as no longer listed. */
    void remove() {
        removed = true;
    }

    void occupy() {
        outstanding++;
    }

    void free() {
        outstanding--;
    }

    /** Returns how many slots may be used now: none while a rate limit is used up. */
    int allowed(long now) {
        return pacer.isUsedUp() ? 0 : capacity(now);
    }

    /**
     * Returns how many slots may be used, whatever the limit named by the endpoint: fewer during warm-up or after the
     * endpoint shed a request.
     */
    int capacity(long now) {
        int allowed = slots;
        long rampNanos = warmUp.rampNanos();
        if (rampNanos > 0 && now - firstSeenNanos < rampNanos) {
            allowed = 1 + (int) ((slots - 1) * (now - firstSeenNanos) / rampNanos);
        }
        return now < shedUntilNanos ? Math.max(1, allowed - 1) : allowed;
    }

    /** Returns the occupancy level used for selection; an endpoint whose level is the number of buckets gets no requests. */
    int level(long now) {
        return Math.min(buckets, outstanding + buckets - allowed(now));
    }

    private boolean isCold(long now) {
        return warmUp.coldPerSecond() > 0 && coldUntilNanos != Instance.WARM && now < coldUntilNanos;
    }

    boolean isEjected(long now) {
        return now < ejectedUntilNanos;
    }

    /** Returns whether the occupancy level may change without any request. */
    boolean isInTransition(long now) {
        return now < shedUntilNanos
                || now < ejectedUntilNanos
                || now - firstSeenNanos < warmUp.rampNanos()
                || isCold(now)
                || pacer.isLimited();
    }

    /** Returns the moving average of failed uses, raised to a minimum after several consecutive failures. */
    double failureShare() {
        return consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT
                ? Math.max(failureMean, CONSECUTIVE_FAILURE_SHARE)
                : failureMean;
    }

    /**
     * Records the outcome of a use; returns whether the endpoint should be ejected if the others fail less.
     *
     * @param isWidespread whether the whole pool fails, so that shedding says little about the load of this endpoint
     */
    boolean recordOutcome(SlotOutcome outcome, boolean isWidespread, long now) {
        if (outcome.isSuccess()) {
            consecutiveFailures = 0;
            failureMean -= FAILURE_GAIN * failureMean;
            if (failureMean < FAILURE_GAIN) {
                ejections = 0;
            }
            return false;
        }
        if (outcome == SlotOutcome.SHED) {
            shedUntilNanos = isWidespread ? shedUntilNanos : now + SHED_BACKOFF_NANOS;
        } else if (!outcome.isFailure()) {
            return false;
        } else {
            consecutiveFailures++;
        }
        failureMean += FAILURE_GAIN * (1 - failureMean);
        return outcome == SlotOutcome.REFUSED
                || consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT
                || failureMean > MAX_FAILURE_SHARE;
    }

    /** Ejects the endpoint for a time that doubles with each consecutive ejection. */
    void eject(long now) {
        long nanos = Math.min(MAX_EJECTION_NANOS, FIRST_EJECTION_NANOS << Math.min(ejections, 10));
        ejections++;
        ejectedUntilNanos = now + nanos;
        consecutiveFailures = CONSECUTIVE_FAILURES_TO_EJECT - 1;
        failureMean = MAX_FAILURE_SHARE - FAILURE_GAIN;
    }

    /** Ends the ejection of the endpoint at once. */
    void readmit() {
        ejectedUntilNanos = Long.MIN_VALUE;
    }
}
