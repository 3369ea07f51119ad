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
 * Options of how the requests of a route are served.
 *
 * <p>{@link #toString} is part of the stored row and of the tables' digest, so the names and the order of the components
 * must not change.
 *
 * @param target target latency, from the arrival of a request to its answer; a later answer is worth less
 * @param attempts maximum number of endpoints to which one request may be sent, at least 1
 * @param sticky whether endpoints answer faster for recently handled objects, so that requests are routed by object
 * @param homes only regions in which the requests may run; empty for all regions
 * @param split weight of each pool among which the requests are split; at least one is above 0
 */
public record RouteOptions(
        Duration target, int attempts, boolean sticky, SortedSet<String> homes, SortedMap<String, Integer> split) {
    /** Maximum number of attempts unless a route specifies another. */
    public static final int DEFAULT_ATTEMPTS = 3;

    /** Copies the collections and checks the numbers. */
    public RouteOptions {
        homes = Collections.unmodifiableSortedSet(new TreeSet<>(homes));
        split = Collections.unmodifiableSortedMap(new TreeMap<>(split));
        if (attempts < 1) {
            throw new IllegalArgumentException("a route needs at least 1 attempt, but has " + attempts + " attempts");
        }
        if (split.values().stream().noneMatch(weight -> weight > 0)) {
            throw new IllegalArgumentException(
                    "at least one pool of a route needs a weight above 0, but the weights are " + split);
        }
    }

    /** Returns the options of a route that specifies only a pool and a timeout. */
    public static RouteOptions defaults(String pool, Duration timeout) {
        return new RouteOptions(
                timeout, DEFAULT_ATTEMPTS, false, new TreeSet<>(Set.of()), new TreeMap<>(Map.of(pool, 1)));
    }

    /** Returns whether requests may run in a region. */
    public boolean allows(String region) {
        return homes.isEmpty() || homes.contains(region);
    }
}
