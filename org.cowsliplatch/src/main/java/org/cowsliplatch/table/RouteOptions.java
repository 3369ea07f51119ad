package org.cowsliplatch.table;

import java.time.Duration;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * How the requests of a route are served, beyond where they go.
 *
 * @param target time from the arrival of a request to its answer within which the answer has its full worth
 * @param attempts most endpoints to which one request may be sent, at least 1
 * @param sticky whether endpoints answer faster for objects that they handled lately
 * @param homes regions that alone may run the requests; empty for all
 * @param split weights of the pools among which the requests are divided; at least one is above 0
 */
public record RouteOptions(
        Duration target, int attempts, boolean sticky, SortedSet<String> homes, SortedMap<String, Integer> split) {
    /** Most attempts at a request of a route that does not say otherwise. */
    public static final int DEFAULT_ATTEMPTS = 3;

    /** Copies the collections and checks the numbers. */
    public RouteOptions {
        homes = Collections.unmodifiableSortedSet(new TreeSet<>(homes));
        split = Collections.unmodifiableSortedMap(new TreeMap<>(split));
        if (attempts < 1) {
            throw new IllegalArgumentException("a route with " + attempts + " attempts");
        }
        if (split.values().stream().noneMatch(weight -> weight > 0)) {
            throw new IllegalArgumentException("a route whose pools have no weight: " + split);
        }
    }

    /** Returns the options of a route that has a pool and a timeout only. */
    public static RouteOptions defaults(String pool, Duration timeout) {
        return new RouteOptions(
                timeout, DEFAULT_ATTEMPTS, false, new TreeSet<>(Set.of()), new TreeMap<>(Map.of(pool, 1)));
    }

    /** Returns whether requests may run in a region. */
    public boolean allows(String region) {
        return homes.isEmpty() || homes.contains(region);
    }
}
