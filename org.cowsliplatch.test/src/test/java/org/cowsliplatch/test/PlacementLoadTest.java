package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.ListedEndpoint;
import org.cowsliplatch.internal.limit.SlotDecision;
import org.cowsliplatch.internal.limit.SlotGrantor;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Rank;
import org.junit.jupiter.api.Test;

/**
 * Simulates look-ups of a bounded set of objects against a grantor, in virtual time, and checks how many are on time.
 *
 * <p>An endpoint caches 18 objects and needs 30 % of the time for a cached one. The figures are those of the users'
 * look-up service: 10 endpoints of 3 slots in a region, 64 objects, 640 ms, a target of 400 ms.
 */
final class PlacementLoadTest {
    private static final long MS = 1_000_000L;
    private static final int ENDPOINTS = 10;
    private static final int SLOTS = 3;
    private static final int OBJECTS = 64;
    private static final int CACHED_OBJECTS = 18;
    private static final double COLD_MS = 640;
    private static final double WARM_SHARE = 0.3;
    private static final double SPREAD = 0.15;
    private static final long TARGET_MS = 360;
    private static final long TIMEOUT_MS = 1_160;
    private static final long TICK_MS = 20;

    private record Event(long atNanos, long order, Runnable action) {}

    private final ManualTicker ticker = new ManualTicker();
    private final SplittableRandom random = new SplittableRandom(11);
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) ->
            a.atNanos() != b.atNanos() ? Long.compare(a.atNanos(), b.atNanos()) : Long.compare(a.order(), b.order()));
    private final SlotGrantor grantor = new SlotGrantor(
            new Pool("p", "s", 64, new TreeMap<>(), Duration.ZERO, 2_000, 0), ticker, new SplittableRandom(7));
    private final Map<String, LinkedHashMap<String, Boolean>> caches = new HashMap<>();
    private final Map<Long, Long> arrivedNanos = new HashMap<>();
    private long nextOrder;
    private long nextId;
    private int arrivals;
    private int onTime;
    private int late;
    private int cutOff;
    private int refused;
    private boolean counting;

    private void after(long nanos, Runnable action) {
        events.add(new Event(ticker.nanos() + nanos, nextOrder++, action));
    }

    private void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event next = events.poll();
            ticker.advanceNanos(next.atNanos() - ticker.nanos());
            next.action().run();
        }
    }

    private void simulate(double perSecond, long warmUpS, long countedS) {
        List<ListedEndpoint> listed = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            Endpoint endpoint = new Endpoint("e" + i, "10.0.0." + i + ":80", "r", i % 2 == 0 ? "a" : "b");
            listed.add(new ListedEndpoint(endpoint, SLOTS, false, false, Instance.WARM));
            caches.put(endpoint.id(), new LinkedHashMap<>());
        }
        handle(grantor.updateEndpoints(listed));
        arrive(perSecond);
        tick();
        long start = ticker.nanos();
        runUntil(start + warmUpS * 1_000 * MS);
        counting = true;
        runUntil(start + (warmUpS + countedS) * 1_000 * MS);
    }

    private void tick() {
        handle(grantor.tick());
        after(TICK_MS * MS, this::tick);
    }

    private void arrive(double perSecond) {
        long now = ticker.nanos();
        String object = Integer.toString(random.nextInt(OBJECTS));
        SlotRequest.Requirements requirements = new SlotRequest.Requirements(
                Rank.URGENT, now + TARGET_MS * MS, now + TIMEOUT_MS * MS, List.of(), object);
        long id = nextId++;
        arrivedNanos.put(id, now);
        if (counting) {
            arrivals++;
        }
        handle(grantor.request(new SlotRequest("h", id, random.nextBoolean() ? "a" : "b", now, requirements)));
        double gap = -Math.log(1 - random.nextDouble()) / perSecond;
        after((long) (gap * 1_000 * MS), () -> arrive(perSecond));
    }

    private void handle(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            if (decision instanceof SlotDecision.Granted granted) {
                run(granted);
            } else if (counting) {
                refused++;
            }
        }
    }

    private void run(SlotDecision.Granted granted) {
        String object = granted.request().requirements().object();
        LinkedHashMap<String, Boolean> cache =
                caches.getOrDefault(granted.endpoint().id(), new LinkedHashMap<>());
        double mean = cache.containsKey(object) ? COLD_MS * WARM_SHARE : COLD_MS;
        long nanos = (long) (mean * Math.max(0.3, 1 + SPREAD * random.nextGaussian()) * MS);
        long left = granted.request().requirements().deadlineNanos() - ticker.nanos();
        boolean isCutOff = nanos > left;
        after(Math.min(nanos, left), () -> {
            if (!isCutOff) {
                cache.remove(object);
                cache.put(object, true);
                if (cache.size() > CACHED_OBJECTS) {
                    cache.remove(cache.keySet().iterator().next());
                }
            }
            end(granted, isCutOff);
        });
    }

    private void end(SlotDecision.Granted granted, boolean isCutOff) {
        long took = ticker.nanos() - arrivedNanos.getOrDefault(granted.request().id(), 0L);
        if (counting) {
            if (isCutOff) {
                cutOff++;
            } else if (took <= TARGET_MS * MS) {
                onTime++;
            } else {
                late++;
            }
        }
        handle(grantor.release("h", granted.request().id(), isCutOff ? SlotOutcome.CANCELLED : SlotOutcome.ANSWERED));
    }

    private String summary() {
        return onTime + " in time, " + late + " late, " + refused + " refused, " + cutOff + " cut of " + arrivals;
    }

    @Test
    void moderateLoadIsServedOnTime() {
        simulate(50, 5, 15);

        assertWithMessage(summary()).that(onTime / (double) arrivals).isAtLeast(0.85);
    }

    /** With cold caches the endpoints can serve 47 requests/s; a higher load must not keep the caches cold. */
    @Test
    void loadThatNeedsWarmCachesIsServedAfterAColdStart() {
        simulate(82, 8, 15);

        assertWithMessage(summary()).that(onTime / (double) arrivals).isAtLeast(0.7);
    }

    @Test
    void overloadKeepsGoodput() {
        simulate(220, 8, 15);

        // Endpoints with warm caches can serve at most 156 requests/s.
        assertWithMessage(summary()).that(onTime / 15.0).isAtLeast(80.0);
        assertWithMessage(summary()).that(cutOff / (double) arrivals).isAtMost(0.02);
    }
}
