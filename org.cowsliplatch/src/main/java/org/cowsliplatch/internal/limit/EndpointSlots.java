package org.cowsliplatch.internal.limit;

/** Slots of one endpoint and what is believed of its health; guarded by the lock of the grantor. */
final class EndpointSlots {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
    private static final long LONGEST_EJECTION_NANOS = 30_000_000_000L;
    private static final long SHED_REST_NANOS = 250_000_000L;

    private final Endpoint endpoint;
    private final int slots;
    private final long coldSince;
    private final long rampNanos;
    private int outstanding;
    private int failuresInRow;
    private int ejections;
    private long ejectedUntil = Long.MIN_VALUE;
    private long shedUntil = Long.MIN_VALUE;
    private boolean leaving;
    private boolean gone;
    /** Bucket in the {@link EndpointSet}, or -1. */
    int bucket = -1;
    /** Place in the bucket. */
    int place = -1;

    /**
     * Creates the slots of an endpoint.
     *
     * @param coldSince when a cold endpoint was first seen
     * @param rampNanos time to full slots; 0 for a warm endpoint
     */
    EndpointSlots(Endpoint endpoint, int slots, long coldSince, long rampNanos) {
        this.endpoint = endpoint;
        this.slots = slots;
        this.coldSince = coldSince;
        this.rampNanos = rampNanos;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    int outstanding() {
        return outstanding;
    }

    int slots() {
        return slots;
    }

    boolean isLeaving() {
        return leaving;
    }

    boolean isGone() {
        return gone;
    }

    /** Marks the endpoint as leaving; it stays so for its incarnation. */
    void leave() {
        leaving = true;
    }

    /** Marks the endpoint as no longer listed. */
    void remove() {
        gone = true;
    }

    void occupy() {
        outstanding++;
    }

    void free() {
        outstanding--;
    }

    /** Returns how many slots may be used now: fewer while cold or after it shed work. */
    int allowed(long now) {
        int warm = slots;
        if (rampNanos > 0 && now - coldSince < rampNanos) {
            warm = 1 + (int) ((slots - 1) * (now - coldSince) / rampNanos);
        }
        return now < shedUntil ? Math.max(1, warm - 1) : warm;
    }

    /** Returns the occupancy that the choice goes by; an endpoint at {@link #slots()} gets no work. */
    int level(long now) {
        return Math.min(slots, outstanding + slots - allowed(now));
    }

    boolean isEjected(long now) {
        return now < ejectedUntil;
    }

    /** Returns whether the level changes with time alone. */
    boolean isInTransition(long now) {
        return now < shedUntil || now < ejectedUntil || (rampNanos > 0 && now - coldSince < rampNanos);
    }

    /** Notes how a use ended; returns whether the endpoint deserves to be ejected. */
    boolean note(SlotOutcome outcome, long now) {
        if (outcome.isGood()) {
            failuresInRow = 0;
            ejections = 0;
            return false;
        }
        if (outcome == SlotOutcome.SHED) {
            shedUntil = now + SHED_REST_NANOS;
            return false;
        }
        if (!outcome.isBad()) {
            return false;
        }
        failuresInRow++;
        return outcome == SlotOutcome.REFUSED || failuresInRow >= FAILURES_TO_EJECT;
    }

    /** Keeps the endpoint out for a time that doubles with each ejection in a row. */
    void eject(long now) {
        long time = Math.min(LONGEST_EJECTION_NANOS, FIRST_EJECTION_NANOS << Math.min(ejections, 10));
        ejections++;
        ejectedUntil = now + time;
        failuresInRow = FAILURES_TO_EJECT - 1;
    }

    /** Lets the endpoint back in at once. */
    void readmit() {
        ejectedUntil = Long.MIN_VALUE;
    }
}
