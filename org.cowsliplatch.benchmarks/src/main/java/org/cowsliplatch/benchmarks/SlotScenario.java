package org.cowsliplatch.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cowsliplatch.table.Rank;

/**
 * Entry instances that share the slots of a pool's endpoints, in one of several ways, on virtual time.
 *
 * <p>Arrivals are Poisson, service times exponential with a mean of 50 ms.
 */
public final class SlotScenario {
    /** Entry instances. */
    static final int ENTRIES = 12;
    /** Endpoints. */
    static final int ENDPOINTS = 12;
    /** Slots of an endpoint. */
    static final int SLOTS = 3;

    static final long MEAN_SERVICE_NANOS = 50 * VirtualTime.MS;
    /** Time of a message between availability zones at Ritagli. */
    public static final long RITAGLI_MESSAGE_NANOS = VirtualTime.MS;
    /** Time of a message between availability zones at Nordvik. */
    public static final long NORDVIK_MESSAGE_NANOS = VirtualTime.MS / 2;

    static final long BUDGET_NANOS = 1_000 * VirtualTime.MS;
    private static final long WARM_UP_NANOS = 5_000 * VirtualTime.MS;

    /**
     * Figures of one run.
     *
     * @param tally what happened to the requests
     * @param mostOutstanding most requests at one endpoint
     * @param goodput answers in time, as a share of what the slots can do
     */
    public record Figures(Tally tally, int mostOutstanding, double goodput) {}

    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final Tally tally = new Tally(WARM_UP_NANOS);
    private final List<FakeEndpoint> endpoints = new ArrayList<>();

    private SlotScenario(long seed) {
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new FakeEndpoint(time, SLOTS));
        }
    }

    /**
     * Runs a scenario.
     *
     * @param way way of sharing the slots
     * @param load requests offered
     * @param seconds virtual time after the warm-up
     * @param messageNanos time of a message between entry instances
     * @param seed seed of all randomness
     */
    public static Figures run(SharingWay way, Load load, int seconds, long messageNanos, long seed) {
        SlotScenario scenario = new SlotScenario(seed);
        Sharing sharing =
                way.start(scenario.time, scenario.endpoints, scenario.tally, scenario.random.split(), messageNanos);
        double perSecond = 1e9 * ENDPOINTS * SLOTS / MEAN_SERVICE_NANOS;
        scenario.arrive(sharing, Rank.URGENT, load.urgent() * perSecond);
        scenario.arrive(sharing, Rank.LOOKUP, load.lookup() * perSecond);
        scenario.arrive(sharing, Rank.UPLOAD, load.upload() * perSecond);
        long end = WARM_UP_NANOS + VirtualTime.MS * 1_000 * seconds;
        scenario.time.runUntil(end);
        int most = scenario.endpoints.stream()
                .mapToInt(FakeEndpoint::mostOutstanding)
                .max()
                .orElse(0);
        double capacity = perSecond * seconds;
        return new Figures(scenario.tally, most, scenario.tally.inTime() / capacity);
    }

    private void arrive(Sharing sharing, Rank rank, double perSecond) {
        if (perSecond <= 0) {
            return;
        }
        SplittableRandom own = random.split();
        Runnable next = new Runnable() {
            @Override
            public void run() {
                long now = time.nanos();
                long service = exponential(own, MEAN_SERVICE_NANOS);
                Job job = new Job(rank, own.nextInt(ENTRIES), now, now + BUDGET_NANOS, service);
                tally.offered(job);
                sharing.arrive(job);
                time.after(exponential(own, 1e9 / perSecond), this);
            }
        };
        time.after(exponential(own, 1e9 / perSecond), next);
    }

    private static long exponential(SplittableRandom random, double mean) {
        return Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * mean));
    }
}
