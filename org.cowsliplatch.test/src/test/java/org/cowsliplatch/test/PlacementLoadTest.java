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
 * Plays the load of look-ups about a bounded set of objects to a grantor, on virtual time, and checks what callers get.
 *
 * <p>An endpoint that handled an object lately needs 30 % of the time; it remembers 18 objects. The figures are those
 * of the users' look-up service: 10 endpoints of 3 slots in a region, 64 objects, 640 ms, a target of 400 ms.
 */
final class PlacementLoadTest {
    private static final long MS = 1_000_000L;
    private static final int ENDPOINTS = 10;
    private static final int SLOTS = 3;
    private static final int OBJECTS = 64;
    private static final int REMEMBERED = 18;
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
    private final Map<String, LinkedHashMap<String, Boolean>> memory = new HashMap<>();
    private final Map<Long, Long> arrivedNanos = new HashMap<>();
    private long nextOrder;
    private long nextId;
    private int asked;
    private int inTime;
    private int late;
    private int cut;
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

    private void play(double perSecond, long warmUpS, long countedS) {
        List<ListedEndpoint> listed = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            Endpoint endpoint = new Endpoint("e" + i, "10.0.0." + i + ":80", "r", i % 2 == 0 ? "a" : "b");
            listed.add(new ListedEndpoint(endpoint, SLOTS, false, false, Instance.WARM));
            memory.put(endpoint.id(), new LinkedHashMap<>());
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
        SlotRequest.Requirements want = new SlotRequest.Requirements(
                Rank.URGENT, now + TARGET_MS * MS, now + TIMEOUT_MS * MS, List.of(), object);
        long id = nextId++;
        arrivedNanos.put(id, now);
        if (counting) {
            asked++;
        }
        handle(grantor.request(new SlotRequest("h", id, random.nextBoolean() ? "a" : "b", now, want)));
        double gap = -Math.log(1 - random.nextDouble()) / perSecond;
        after((long) (gap * 1_000 * MS), () -> arrive(perSecond));
    }

    private void handle(List<SlotDecision> decided) {
        for (SlotDecision event : decided) {
            if (event instanceof SlotDecision.Granted granted) {
                run(granted);
            } else if (counting) {
                refused++;
            }
        }
    }

    private void run(SlotDecision.Granted granted) {
        String object = granted.request().requirements().object();
        LinkedHashMap<String, Boolean> known =
                memory.getOrDefault(granted.endpoint().id(), new LinkedHashMap<>());
        double mean = known.containsKey(object) ? COLD_MS * WARM_SHARE : COLD_MS;
        long nanos = (long) (mean * Math.max(0.3, 1 + SPREAD * random.nextGaussian()) * MS);
        long left = granted.request().requirements().deadlineNanos() - ticker.nanos();
        boolean isCut = nanos > left;
        after(Math.min(nanos, left), () -> {
            if (!isCut) {
                known.remove(object);
                known.put(object, true);
                if (known.size() > REMEMBERED) {
                    known.remove(known.keySet().iterator().next());
                }
            }
            end(granted, isCut);
        });
    }

    private void end(SlotDecision.Granted granted, boolean isCut) {
        long took = ticker.nanos() - arrivedNanos.getOrDefault(granted.request().id(), 0L);
        if (counting) {
            if (isCut) {
                cut++;
            } else if (took <= TARGET_MS * MS) {
                inTime++;
            } else {
                late++;
            }
        }
        handle(grantor.release("h", granted.request().id(), isCut ? SlotOutcome.CANCELLED : SlotOutcome.ANSWERED));
    }

    private String told() {
        return inTime + " in time, " + late + " late, " + refused + " refused, " + cut + " cut of " + asked;
    }

    @Test
    void moderateLoadIsServedInTime() {
        play(50, 5, 15);

        assertWithMessage(told()).that(inTime / (double) asked).isAtLeast(0.85);
    }

    /** Cold, the endpoints could serve 47 a second; the load must not keep them cold. */
    @Test
    void loadThatOnlyWarmEndpointsCanServeIsServedAfterAColdStart() {
        play(82, 8, 15);

        assertWithMessage(told()).that(inTime / (double) asked).isAtLeast(0.7);
    }

    @Test
    void overloadLeavesTheRestInTime() {
        play(220, 8, 15);

        // 156 a second is what warm endpoints can serve at most.
        assertWithMessage(told()).that(inTime / 15.0).isAtLeast(80.0);
        assertWithMessage(told()).that(cut / (double) asked).isAtMost(0.02);
    }
}
