package org.cowsliplatch.internal.limit;

import java.util.ArrayDeque;
import org.cowsliplatch.internal.place.AffinityMap;
import org.cowsliplatch.internal.place.RecentObjects;
import org.cowsliplatch.platform.Instance;

/** Slots of one endpoint and what is believed of its health; guarded by the lock of the grantor. */
final class EndpointSlots {
    private static final int FAILURES_TO_EJECT = 3;
    /** Weight of the latest use in the share of failures. */
    private static final double FAILURE_GAIN = 0.2;
    /** Share of failures, weighted towards the latest, from which an endpoint is kept out. */
    private static final double MOST_FAILURES = 0.5;

    /** Share of failures that several in a row stand for, before the mean has followed them. */
    private static final double BAD_AFTER_ROW = 0.75;

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
    private static final long LONGEST_EJECTION_NANOS = 30_000_000_000L;
    private static final long SHED_REST_NANOS = 250_000_000L;

    private final Endpoint endpoint;
    private final int buckets;
    private final int slots;
    private final long coldSince;
    private final WarmUp warmth;
    private final RecentObjects recent = new RecentObjects(AffinityMap.CACHED_OBJECTS);
    private final ArrayDeque<Long> coldGrants = new ArrayDeque<>();
    private long coldUntil = Instance.WARM;
    private boolean suspended;
    private double failures;
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
     * How an endpoint is held back while it is cold.
     *
     * @param rampNanos time from its appearance to its full slots; 0 for none
     * @param coldPerSecond requests in a second that it takes while the list calls it cold; 0 if that is not known
     */
    record WarmUp(long rampNanos, double coldPerSecond) {}

    /**
     * Creates the slots of an endpoint.
     *
     * @param listed the endpoint
     * @param buckets most slots that an endpoint of the pool has
     * @param coldSince when a cold endpoint was first seen
     * @param warmth how it is held back while it is cold
     */
    EndpointSlots(ListedEndpoint listed, int buckets, long coldSince, WarmUp warmth) {
        this.endpoint = listed.endpoint();
        this.buckets = buckets;
        this.slots = listed.slots() == 0 ? buckets : Math.min(buckets, listed.slots());
        this.coldSince = coldSince;
        this.warmth = warmth;
    }

    /** Takes over what the list says of the endpoint now. */
    void listed(ListedEndpoint listed) {
        coldUntil = listed.coldUntilNanos();
        suspended = listed.suspended();
        if (listed.leaving()) {
            leaving = true;
        }
    }

    /** Returns what the endpoint handled last. */
    RecentObjects recent() {
        return recent;
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

    boolean isGone() {
        return gone;
    }

    /** Returns whether the endpoint is neither leaving nor suspended, whatever its health. */
    boolean isInRotation() {
        return !leaving && !suspended;
    }

    /** Marks the endpoint as leaving; it stays so for its incarnation. */
    void leave() {
        leaving = true;
    }

    /** Marks the endpoint as no longer listed. */
    void remove() {
        gone = true;
    }

    void occupy(long now) {
        outstanding++;
        if (isCold(now)) {
            coldGrants.addLast(now);
        }
    }

    void free() {
        outstanding--;
    }

    /** Returns how many slots may be used now: fewer while cold or after it shed work. */
    int allowed(long now) {
        int warm = slots;
        long ramp = warmth.rampNanos();
        if (ramp > 0 && now - coldSince < ramp) {
            warm = 1 + (int) ((slots - 1) * (now - coldSince) / ramp);
        }
        if (isColdRateUsedUp(now)) {
            return 0;
        }
        return now < shedUntil ? Math.max(1, warm - 1) : warm;
    }

    /** Returns the occupancy that the choice goes by; an endpoint at the number of buckets gets no work. */
    int level(long now) {
        return Math.min(buckets, outstanding + buckets - allowed(now));
    }

    private boolean isCold(long now) {
        return warmth.coldPerSecond() > 0 && coldUntil != Instance.WARM && now < coldUntil;
    }

    private boolean isColdRateUsedUp(long now) {
        if (!isCold(now)) {
            coldGrants.clear();
            return false;
        }
        while (!coldGrants.isEmpty() && now - coldGrants.peekFirst() >= SECOND_NANOS) {
            coldGrants.removeFirst();
        }
        return coldGrants.size() >= Math.max(1, (int) warmth.coldPerSecond());
    }

    boolean isEjected(long now) {
        return now < ejectedUntil;
    }

    /** Returns whether the level changes with time alone. */
    boolean isInTransition(long now) {
        return now < shedUntil || now < ejectedUntil || now - coldSince < warmth.rampNanos() || isCold(now);
    }

    /** Returns the share of uses that failed, weighted towards the latest, or more after several in a row. */
    double badness() {
        return failuresInRow >= FAILURES_TO_EJECT ? Math.max(failures, BAD_AFTER_ROW) : failures;
    }

    /**
     * Notes how a use ended; returns whether the endpoint deserves to be ejected if others do better.
     *
     * @param isWidespread whether its pool as a whole fails, so that a refusal says little of this endpoint's load
     */
    boolean note(SlotOutcome outcome, boolean isWidespread, long now) {
        if (outcome.isGood()) {
            failuresInRow = 0;
            failures -= FAILURE_GAIN * failures;
            if (failures < FAILURE_GAIN) {
                ejections = 0;
            }
            return false;
        }
        if (outcome == SlotOutcome.SHED) {
            shedUntil = isWidespread ? shedUntil : now + SHED_REST_NANOS;
        } else if (!outcome.isBad()) {
            return false;
        } else {
            failuresInRow++;
        }
        failures += FAILURE_GAIN * (1 - failures);
        return outcome == SlotOutcome.REFUSED || failuresInRow >= FAILURES_TO_EJECT || failures > MOST_FAILURES;
    }

    /** Keeps the endpoint out for a time that doubles with each ejection in a row. */
    void eject(long now) {
        long time = Math.min(LONGEST_EJECTION_NANOS, FIRST_EJECTION_NANOS << Math.min(ejections, 10));
        ejections++;
        ejectedUntil = now + time;
        failuresInRow = FAILURES_TO_EJECT - 1;
        failures = MOST_FAILURES - FAILURE_GAIN;
    }

    /** Lets the endpoint back in at once. */
    void readmit() {
        ejectedUntil = Long.MIN_VALUE;
    }
}
