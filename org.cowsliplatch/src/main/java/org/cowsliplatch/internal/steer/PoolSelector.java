package org.cowsliplatch.internal.steer;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.cowsliplatch.table.Route;

/**
 * Selects the pool of each request of a route in proportion to the weights of the route's pools.
 *
 * <p>Smooth weighted round robin keeps each pool within one request of its share at any time; with random selection the
 * deviation would grow with the square root of the number of requests. Thread-safe.
 */
public final class PoolSelector {
    private static final class WeightedRoundRobin {
        final SortedMap<String, Integer> weights;
        final Map<String, Integer> credit = new TreeMap<>();

        WeightedRoundRobin(SortedMap<String, Integer> weights) {
            this.weights = weights;
        }

        synchronized String next() {
            int total = 0;
            String chosen = weights.firstKey();
            int highest = Integer.MIN_VALUE;
            for (Map.Entry<String, Integer> entry : weights.entrySet()) {
                total += entry.getValue();
                int current = credit.merge(entry.getKey(), entry.getValue(), Integer::sum);
                if (entry.getValue() > 0 && current > highest) {
                    highest = current;
                    chosen = entry.getKey();
                }
            }
            credit.merge(chosen, -total, Integer::sum);
            return chosen;
        }
    }

    private final Map<String, WeightedRoundRobin> byRoute = new ConcurrentHashMap<>();

    /** Returns the name of the pool for the next request of a route. */
    public String next(Route route) {
        SortedMap<String, Integer> weights = route.options().split();
        if (weights.size() == 1) {
            return weights.firstKey();
        }
        WeightedRoundRobin roundRobin = byRoute.compute(
                route.name(),
                (name, known) ->
                        known != null && known.weights.equals(weights) ? known : new WeightedRoundRobin(weights));
        return roundRobin.next();
    }
}
