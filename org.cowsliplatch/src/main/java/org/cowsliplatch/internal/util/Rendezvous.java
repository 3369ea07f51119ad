package org.cowsliplatch.internal.util;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Rendezvous (highest random weight) hashing: assigns each key to one candidate, and reassigns few keys when the set of
 * candidates changes.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /** Returns the candidate that owns a key, or empty if there are no candidates. */
    public static Optional<String> owner(String key, Collection<String> candidates) {
        String best = null;
        long bestWeight = 0;
        for (String candidate : candidates) {
            long weight = weight(key, candidate);
            boolean higher = best == null
                    || Long.compareUnsigned(weight, bestWeight) > 0
                    || (weight == bestWeight && candidate.compareTo(best) < 0);
            if (higher) {
                best = candidate;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns all candidates in descending order of weight: the owner of the key, then its successors. */
    public static List<String> order(String key, Collection<String> candidates) {
        Map<String, Long> weights = new HashMap<>();
        candidates.forEach(candidate -> weights.put(candidate, weight(key, candidate)));
        List<String> order = new ArrayList<>(candidates);
        order.sort((a, b) -> {
            int byWeight = Long.compareUnsigned(weights.getOrDefault(b, 0L), weights.getOrDefault(a, 0L));
            return byWeight != 0 ? byWeight : a.compareTo(b);
        });
        return order;
    }

    private static long weight(String key, String candidate) {
        long hash = FNV_OFFSET;
        hash = update(hash, key);
        hash = (hash ^ '/') * FNV_PRIME;
        hash = update(hash, candidate);
        return mix(hash);
    }

    private static long update(long hash, String text) {
        long h = hash;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * FNV_PRIME;
        }
        return h;
    }

    /** Mixes the bits with the finalizer of SplitMix64. */
    private static long mix(long hash) {
        long h = hash;
        h = (h ^ (h >>> 30)) * 0xbf58476d1ce4e5b9L;
        h = (h ^ (h >>> 27)) * 0x94d049bb133111ebL;
        return h ^ (h >>> 31);
    }
}
