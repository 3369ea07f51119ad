package org.cowsliplatch.internal.steer;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Route;

/** Answers look-ups: which entry instances a caller should use for a route, and with what weights. */
public final class EntryLookup {
    /** Minimum weight of a live entry instance, so that an answer is never empty while there is one. */
    private static final int MIN_WEIGHT = 1;

    private static final int WEIGHT_SCALE = 1_000;

    /** Maximum number of entry instances in an answer; if there are more, each answer is a weighted random sample. */
    static final int MAX_ENTRIES = 16;

    /**
     * One entry instance in an answer.
     *
     * @param name name of the entry instance
     * @param address address for callers
     * @param region region
     * @param zone availability zone
     * @param weight share of requests relative to the other entries
     * @param keyPrefix prefix of idempotency keys to use with this entry instance
     */
    public record Entry(String name, String address, String region, String zone, int weight, String keyPrefix) {}

    /**
     * Answer to a look-up.
     *
     * @param route name of the route
     * @param tableVersion version of the tables that the answer is based on
     * @param ttlMs time in ms for which the answer may be cached
     * @param entries entry instances, by descending weight
     */
    public record Answer(String route, long tableVersion, long ttlMs, List<Entry> entries) {
        /** Copies the entries. */
        public Answer {
            entries = List.copyOf(entries);
        }
    }

    private final long ttlMs;
    private final InstantSource wallClock;
    private final DoubleSupplier random;

    /**
     * Creates a look-up.
     *
     * @param ttl time for which answers may be cached
     * @param wallClock clock by which traffic shifts progress
     * @param random source of uniform random numbers in [0, 1), thread-safe
     */
    public EntryLookup(Duration ttl, InstantSource wallClock, DoubleSupplier random) {
        this.random = random;
        this.wallClock = wallClock;
        this.ttlMs = ttl.toMillis();
    }

    /** Returns the answer for a route: entry instances weighted by their region's share of the pool. */
    public Answer answer(Route route, Pool pool, SteeringView view) {
        long nowMs = wallClock.millis();
        List<Member> usable = usable(view.members());
        Map<String, Integer> instancesByRegion = new TreeMap<>();
        for (Member member : usable) {
            instancesByRegion.merge(member.region(), 1, Integer::sum);
        }
        List<Entry> entries = new ArrayList<>();
        for (Member member : usable) {
            double share = view.shifts().share(pool, member.region(), nowMs)
                    / instancesByRegion.getOrDefault(member.region(), 1);
            int weight = Math.max(MIN_WEIGHT, (int) Math.round(share * WEIGHT_SCALE));
            entries.add(new Entry(
                    member.name(), member.callerAddress(), member.region(), member.zone(), weight, member.keyPrefix()));
        }
        List<Entry> chosen = sample(entries);
        chosen.sort(Comparator.comparingInt((Entry entry) -> -entry.weight()).thenComparing(Entry::name));
        return new Answer(route.name(), view.tables().number(), ttlMs, chosen);
    }

    /** Returns all entries if they are few, or else a random sample by weight whose entries all have weight 1. */
    private List<Entry> sample(List<Entry> entries) {
        if (entries.size() <= MAX_ENTRIES) {
            return entries;
        }
        // Draws an exponential time for each entry, with its weight as rate, and keeps the entries with the earliest.
        record Timed(Entry entry, double time) {}
        PriorityQueue<Timed> latestFirst = new PriorityQueue<>(Comparator.comparingDouble(timed -> -timed.time()));
        for (Entry entry : entries) {
            double time = -Math.log(1 - random.getAsDouble()) / entry.weight();
            latestFirst.add(new Timed(entry, time));
            if (latestFirst.size() > MAX_ENTRIES) {
                latestFirst.poll();
            }
        }
        List<Entry> sample = new ArrayList<>();
        latestFirst.forEach(timed -> sample.add(new Entry(
                timed.entry().name(),
                timed.entry().address(),
                timed.entry().region(),
                timed.entry().zone(),
                1,
                timed.entry().keyPrefix())));
        return sample;
    }

    /** Returns the members that have tables and are not leaving, or all members if there are none. */
    private static List<Member> usable(List<Member> members) {
        List<Member> usable = members.stream()
                .filter(member -> !member.leaving() && member.tableVersion() > 0)
                .toList();
        return usable.isEmpty() ? members : usable;
    }
}
