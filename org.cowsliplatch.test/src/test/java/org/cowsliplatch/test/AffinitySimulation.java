package org.cowsliplatch.test;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.ListedEndpoint;
import org.cowsliplatch.internal.limit.SlotDecision;
import org.cowsliplatch.internal.limit.SlotGrantor;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Rank;

/**
 * Plays requests about a bounded set of objects against a grantor and endpoints that are faster for the objects that
 * they handled lately. Virtual time; one seed gives one course of events.
 */
final class AffinitySimulation {
    /** Mean run of the users' look-ups in ms at an endpoint that does not remember the object. */
    private static final long COLD_MS = 640;
    /** The same at one that does: a warm run saves 70 %. */
    private static final long WARM_MS = 192;
    /** Time in ms from the arrival within which an answer has its full worth. */
    private static final long AIM_MS = 360;

    private static final long DEADLINE_MS = 1_200;
    /** Time in ms after which a refused caller comes back, once. */
    private static final long RETURN_MS = 700;

    private static final int SLOTS = 3;
    /** Objects that an endpoint of the users' look-ups remembers. */
    private static final int REMEMBERED = 18;

    private static final long MS = 1_000_000;

    private record End(long atMs, long askId, boolean shed) {}

    private record Return(long atMs, long askId, String object, String zone) {}

    /** What became of the requests that arrived in a span of time. */
    record Result(int asked, int inTime, int served) {
        double inTimeShare() {
            return (double) inTime / asked;
        }

        double servedShare() {
            return (double) served / asked;
        }
    }

    private final ManualTicker ticker = new ManualTicker();
    private final SplittableRandom random;
    private double perSecond;
    private final int objects;
    private final List<ListedEndpoint> listed = new ArrayList<>();
    private final Map<String, Set<String>> memories = new HashMap<>();
    private final Map<Long, Long> arrivals = new HashMap<>();
    private final PriorityQueue<End> ends = new PriorityQueue<>(
            (a, b) -> a.atMs() == b.atMs() ? Long.compare(a.askId(), b.askId()) : Long.compare(a.atMs(), b.atMs()));
    private final ArrayDeque<Return> returns = new ArrayDeque<>();
    private final Set<Long> returned = new HashSet<>();
    private SlotGrantor grantor;
    private boolean returnsAreKnown = true;
    private double shedShare;
    private long nowMs;
    private long nextId;
    private int asked;
    private int inTime;
    private int served;

    AffinitySimulation(long seed, int endpoints, int objects, double perSecond) {
        this.random = new SplittableRandom(seed);
        this.objects = objects;
        this.perSecond = perSecond;
        for (int i = 0; i < endpoints; i++) {
            String id = "e" + i;
            listed.add(
                    ListedEndpoint.active(new Endpoint(id, "10.0.0." + (i + 1) + ":80", "r", i % 2 == 0 ? "a" : "b")));
        }
        grantor = newGrantor();
    }

    private SlotGrantor newGrantor() {
        Pool pool = new Pool("p", "s", SLOTS, new TreeMap<>(), java.time.Duration.ZERO, 10_000);
        SlotGrantor fresh = new SlotGrantor(pool, ticker, random.split());
        fresh.updateEndpoints(listed);
        return fresh;
    }

    /** Replaces the grantor by one that knows nothing; what runs is ended before, so that only knowledge is lost. */
    void loseGrantor() {
        while (!ends.isEmpty()) {
            step(0);
        }
        grantor = newGrantor();
    }

    void loseEndpoint() {
        listed.remove(listed.size() - 1);
        handle(grantor.updateEndpoints(listed));
    }

    void rate(double newPerSecond) {
        perSecond = newPerSecond;
    }

    /** Treats refused callers that come back as new ones. */
    void forgetReturns() {
        returnsAreKnown = false;
    }

    /** Lets every endpoint refuse a share of what it gets, at once and whatever its load. */
    void shed(double share) {
        shedShare = share;
    }

    Result play(long ms) {
        asked = 0;
        inTime = 0;
        served = 0;
        for (long end = nowMs + ms; nowMs < end; ) {
            step(perSecond / 1_000);
        }
        return new Result(asked, inTime, served);
    }

    private void step(double arrivalsPerMs) {
        nowMs++;
        ticker.advanceMs(1);
        while (!ends.isEmpty() && ends.peek().atMs() <= nowMs) {
            end(ends.poll());
        }
        while (!returns.isEmpty() && returns.peek().atMs() <= nowMs) {
            Return one = returns.poll();
            ask(one.askId(), one.object(), one.zone());
        }
        if (random.nextDouble() < arrivalsPerMs) {
            arrive();
        }
        handle(grantor.tick());
    }

    private void arrive() {
        long id = nextId++;
        arrivals.put(id, nowMs);
        asked++;
        ask(id, "o" + random.nextInt(objects), random.nextBoolean() ? "a" : "b");
    }

    private void ask(long id, String object, String zone) {
        long now = ticker.nanos();
        long since = returnsAreKnown ? arrivals.getOrDefault(id, nowMs) : nowMs;
        long due = now + (since + AIM_MS - nowMs) * MS;
        SlotRequest.Requirements want =
                new SlotRequest.Requirements(Rank.URGENT, due, now + DEADLINE_MS * MS, List.of(), object);
        handle(grantor.request(new SlotRequest("h", id, zone, now, want)));
    }

    private void handle(List<SlotDecision> events) {
        for (SlotDecision event : events) {
            if (event instanceof SlotDecision.Granted granted) {
                run(granted);
            } else if (returned.add(event.request().id())) {
                SlotRequest ask = event.request();
                returns.add(new Return(
                        nowMs + RETURN_MS, ask.id(), ask.requirements().object(), ask.zone()));
            }
        }
    }

    private void run(SlotDecision.Granted granted) {
        if (random.nextDouble() < shedShare) {
            ends.add(new End(nowMs + 5, granted.request().id(), true));
            return;
        }
        Set<String> memory = memories.computeIfAbsent(granted.endpoint().id(), id -> new LinkedHashSet<>());
        String object = granted.request().requirements().object();
        long mean = memory.remove(object) ? WARM_MS : COLD_MS;
        memory.add(object);
        if (memory.size() > REMEMBERED) {
            memory.remove(memory.iterator().next());
        }
        long run = (long) (mean * (0.85 + 0.3 * random.nextDouble()));
        ends.add(new End(nowMs + run, granted.request().id(), false));
    }

    private void end(End end) {
        List<SlotDecision> events =
                grantor.release("h", end.askId(), end.shed() ? SlotOutcome.SHED : SlotOutcome.ANSWERED);
        if (!end.shed()) {
            served++;
            inTime += nowMs - arrivals.getOrDefault(end.askId(), nowMs) <= AIM_MS ? 1 : 0;
        }
        handle(events);
    }
}
