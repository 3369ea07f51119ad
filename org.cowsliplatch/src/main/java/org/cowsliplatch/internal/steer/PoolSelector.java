package org.cowsliplatch.internal.steer;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.cowsliplatch.table.Route;

/**
 * Divides the requests of each route among its pools in proportion to their weights.
 *
 * <p>Smooth weighted round robin keeps each pool within one request of its share at any time, where random choice
 * would leave it by the square root of their number. Safe for use by several threads.
 */
public final class PoolSelector {
    private static final class Turn {
        final SortedMap<String, Integer> weights;
        final Map<String, Integer> credit = new TreeMap<>();

        Turn(SortedMap<String, Integer> weights) {
            this.weights = weights;
        }

        synchronized String next() {
            int total = 0;
            String chosen = weights.firstKey();
            int most = Integer.MIN_VALUE;
            for (Map.Entry<String, Integer> entry : weights.entrySet()) {
                total += entry.getValue();
                int held = credit.merge(entry.getKey(), entry.getValue(), Integer::sum);
                if (entry.getValue() > 0 && held > most) {
                    most = held;
                    chosen = entry.getKey();
                }
            }
            credit.merge(chosen, -total, Integer::sum);
            return chosen;
        }
    }

    private final Map<String, Turn> turns = new ConcurrentHashMap<>();

    /** Returns the pool of the next request of a route. */
    public String next(Route route) {
        SortedMap<String, Integer> weights = route.options().split();
        if (weights.size() == 1) {
            return weights.firstKey();
        }
        Turn turn = turns.compute(
                route.name(),
                (name, known) -> known != null && known.weights.equals(weights) ? known : new Turn(weights));
        return turn.next();
    }
}
