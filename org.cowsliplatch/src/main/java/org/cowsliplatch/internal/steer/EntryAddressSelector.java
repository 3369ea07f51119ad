package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Route;

/**
 * Selects the addresses of entry instances that a caller receives.
 *
 * <p>Callers spread their requests evenly over the addresses they receive, each entry instance forwards to endpoints of
 * its own region, and callers of a region request the same objects repeatedly. Callers are therefore kept in their own
 * region, where endpoints have their objects cached, up to its share of the slots; the remainder is divided among
 * regions with more slots than their own callers need. All regions are assumed to have the same number of callers.
 */
public final class EntryAddressSelector {
    /** Maximum number of addresses in an answer. */
    private static final int MAX_ADDRESSES = 64;
    /**
     * Minimum number of addresses in an answer if as many exist, so that a caller can fail over to another instance.
     */
    private static final int MIN_ADDRESSES = 3;

    private final RandomGenerator random;

    /** Creates a selector with a source of randomness; it is used under a lock and need not be thread-safe. */
    public EntryAddressSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns addresses for a caller, in no particular order.
     *
     * @param view view whose members, routes and endpoints are used
     * @param host host of the caller's requests
     * @param callerRegion region of the caller
     */
    public synchronized List<String> addresses(SteeringView view, String host, String callerRegion) {
        List<Route> routes = view.tables().tables().routes().values().stream()
                .filter(route -> route.host().equals(host))
                .toList();
        Map<String, List<String>> byRegion = usable(view, allowedRegions(routes, callerRegion));
        Map<String, Double> shares = divide(shares(view, routes, byRegion.keySet()), callerRegion);
        List<String> chosen = new ArrayList<>();
        List<String> remaining = new ArrayList<>();
        double scale = scale(byRegion, shares);
        byRegion.forEach((region, addresses) -> {
            shuffle(addresses);
            double expected = shares.getOrDefault(region, 0.0) * scale;
            int count = (int) expected + (random.nextDouble() < expected - Math.floor(expected) ? 1 : 0);
            int taken = Math.min(addresses.size(), count);
            chosen.addAll(addresses.subList(0, taken));
            remaining.addAll(addresses.subList(taken, addresses.size()));
        });
        while (chosen.size() < MIN_ADDRESSES && !remaining.isEmpty()) {
            chosen.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return chosen.size() <= MAX_ADDRESSES ? chosen : chosen.subList(0, MAX_ADDRESSES);
    }

    private void shuffle(List<String> addresses) {
        for (int i = addresses.size() - 1; i > 0; i--) {
            Collections.swap(addresses, i, random.nextInt(i + 1));
        }
    }

    /** Returns the regions whose entry instances may be selected; empty means all regions. */
    private static Set<String> allowedRegions(List<Route> routes, String callerRegion) {
        Set<String> allowed = new TreeSet<>();
        for (Route route : routes) {
            if (route.options().homes().isEmpty()) {
                continue;
            }
            if (allowed.isEmpty()) {
                allowed.addAll(route.options().homes());
            } else {
                allowed.retainAll(route.options().homes());
            }
        }
        if (!allowed.isEmpty()) {
            allowed.add(callerRegion);
        }
        return allowed;
    }

    private static Map<String, List<String>> usable(SteeringView view, Set<String> allowed) {
        Map<String, List<String>> byRegion = new TreeMap<>();
        for (Member member : view.members()) {
            boolean usable = !member.leaving() && member.tableVersion() > 0;
            if (usable && (allowed.isEmpty() || allowed.contains(member.region()))) {
                byRegion.computeIfAbsent(member.region(), key -> new ArrayList<>())
                        .add(member.callerAddress());
            }
        }
        return byRegion;
    }

    /** Returns the share of each region in the slots for these routes; pools have equal weight, and the sum is 1. */
    private static Map<String, Double> shares(SteeringView view, List<Route> routes, Set<String> regions) {
        Map<String, Double> shares = new TreeMap<>();
        for (Route route : routes) {
            for (String name : route.options().split().keySet()) {
                Pool pool = view.tables().tables().pools().get(name);
                Map<String, Integer> slots =
                        pool == null ? Map.of() : view.endpoints().slots(pool.service());
                double total =
                        slots.values().stream().mapToInt(Integer::intValue).sum();
                slots.forEach((region, count) -> {
                    if (regions.contains(region)) {
                        shares.merge(region, count / total, Double::sum);
                    }
                });
            }
        }
        double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        if (sum == 0) {
            regions.forEach(region -> shares.put(region, 1.0 / regions.size()));
        } else {
            shares.replaceAll((region, share) -> share / sum);
        }
        return shares;
    }

    /**
     * Divides the callers of a region among all regions; returns the fraction for each region.
     *
     * @param shares share of each region in the slots
     * @param callerRegion region of the callers
     */
    static Map<String, Double> divide(Map<String, Double> shares, String callerRegion) {
        if (!shares.containsKey(callerRegion)) {
            return shares;
        }
        double regions = shares.size();
        double local = Math.min(1, shares.getOrDefault(callerRegion, 0.0) * regions);
        double spare = 0;
        for (double share : shares.values()) {
            spare += Math.max(0, share * regions - 1);
        }
        Map<String, Double> divided = new TreeMap<>();
        for (Map.Entry<String, Double> region : shares.entrySet()) {
            double part = spare == 0 ? 0 : Math.max(0, region.getValue() * regions - 1) / spare * (1 - local);
            divided.put(region.getKey(), part + (region.getKey().equals(callerRegion) ? local : 0));
        }
        return divided;
    }

    /** Returns the largest number of addresses, at most the maximum, at which no region runs out of instances. */
    private static double scale(Map<String, List<String>> byRegion, Map<String, Double> shares) {
        double scale = MAX_ADDRESSES;
        for (Map.Entry<String, List<String>> entry : byRegion.entrySet()) {
            double share = shares.getOrDefault(entry.getKey(), 0.0);
            if (share > 0) {
                scale = Math.min(scale, entry.getValue().size() / share);
            }
        }
        return scale;
    }
}
