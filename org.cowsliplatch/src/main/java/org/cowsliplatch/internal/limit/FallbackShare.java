package org.cowsliplatch.internal.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.table.Pool;

/** The part of a group's slots that an entry instance uses by itself while the grantor is suspected to be down. */
final class FallbackShare {
    /** Part of a rate limit that the fallback shares of all holders may use while the grantor may still use all of it. */
    private static final double RATE_SHARE = 0.4;

    private FallbackShare() {}

    /** Returns a local grantor with one slot for each endpoint. */
    static SlotGrantor grantor(Pool pool, Ticker ticker, RandomGenerator random, EndpointLimits limits) {
        Pool oneSlot = new Pool(
                pool.name(),
                pool.service(),
                1,
                pool.regionWeights(),
                pool.ramp(),
                pool.queueLimit(),
                pool.coldPerSecond());
        return new SlotGrantor(oneSlot, ticker, random, limits);
    }

    /**
     * Returns the share of the rate limits that one holder may use of its endpoints.
     *
     * @param endpoints number of endpoints that are divided
     * @param holders holders among which they are divided; any other holder may use no endpoint that has a limit
     * @param holder name of the holder
     */
    static double rateShare(int endpoints, Collection<String> holders, String holder) {
        if (endpoints == 0 || !holders.contains(holder)) {
            return 0;
        }
        return RATE_SHARE / Math.ceil((double) holders.size() / endpoints);
    }

    /**
     * Returns the endpoints of the fallback share of one holder.
     *
     * <p>With at least as many endpoints as holders the shares do not overlap; otherwise each share is one endpoint,
     * which as few holders as possible have in common.
     */
    static List<ListedEndpoint> partOf(List<ListedEndpoint> endpoints, Collection<String> holders, String holder) {
        List<String> names = holders.stream().sorted().toList();
        int index = Math.max(0, names.indexOf(holder));
        if (endpoints.isEmpty()) {
            return List.of();
        }
        List<ListedEndpoint> sorted = new ArrayList<>(endpoints);
        sorted.sort(Comparator.comparing(listed -> listed.endpoint().id()));
        if (sorted.size() < names.size()) {
            return List.of(sorted.get(index % sorted.size()));
        }
        List<ListedEndpoint> part = new ArrayList<>();
        for (int i = index; i < sorted.size(); i += Math.max(1, names.size())) {
            part.add(sorted.get(i));
        }
        return part;
    }
}
