package org.cowsliplatch.internal.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.table.Pool;

/** The part of a group's slots that an entry instance uses while it doubts the grantor. */
final class FallbackShare {
    private FallbackShare() {}

    /** Returns a grantor of one slot of each endpoint that it will be given. */
    static SlotGrantor grantor(Pool pool, Ticker ticker, RandomGenerator random) {
        Pool oneSlot = new Pool(
                pool.name(),
                pool.service(),
                1,
                pool.regionWeights(),
                pool.ramp(),
                pool.queueLimit(),
                pool.coldPerSecond());
        return new SlotGrantor(oneSlot, ticker, random);
    }

    /**
     * Returns the endpoints that one of several holders may use on its own.
     *
     * <p>With at least as many endpoints as holders the parts do not overlap; otherwise each is one endpoint, and as
     * few holders as possible share it.
     */
    static List<ListedEndpoint> partOf(List<ListedEndpoint> endpoints, Collection<String> holders, String holder) {
        List<String> names = holders.stream().sorted().toList();
        int place = Math.max(0, names.indexOf(holder));
        if (endpoints.isEmpty()) {
            return List.of();
        }
        List<ListedEndpoint> sorted = new ArrayList<>(endpoints);
        sorted.sort(Comparator.comparing(listed -> listed.endpoint().id()));
        if (sorted.size() < names.size()) {
            return List.of(sorted.get(place % sorted.size()));
        }
        List<ListedEndpoint> part = new ArrayList<>();
        for (int i = place; i < sorted.size(); i += Math.max(1, names.size())) {
            part.add(sorted.get(i));
        }
        return part;
    }
}
