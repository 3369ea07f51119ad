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
 * Chooses the entry instances that a caller is told of.
 *
 * <p>The load it answers: callers use the addresses of an answer equally, each entry instance sends to endpoints of its
 * own region, and callers of a region ask for the same objects again and again. So callers are kept in their region,
 * where endpoints remember their objects, as far as its part of the slots reaches; the rest is divided among regions
 * with more slots than their own callers need. Every region is taken to have as many callers as any other.
 */
public final class EntryAddressSelector {
    /** Most addresses in an answer. */
    private static final int MOST_ADDRESSES = 64;
    /** Addresses that an answer has at least, where there are as many, so that a caller can turn to another. */
    private static final int LEAST_ADDRESSES = 3;

    private final RandomGenerator random;

    /** Creates a directory that draws from a source of randomness, which is used under a lock. */
    public EntryAddressSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns addresses for a caller, in no order.
     *
     * @param view view
     * @param host host that the caller wants to reach
     * @param callerRegion region of the caller
     */
    public synchronized List<String> addresses(SteeringView view, String host, String callerRegion) {
        List<Route> routes = view.tables().tables().routes().values().stream()
                .filter(route -> route.host().equals(host))
                .toList();
        Map<String, List<String>> byRegion = usable(view, allowedRegions(routes, callerRegion));
        Map<String, Double> shares = divide(shares(view, routes, byRegion.keySet()), callerRegion);
        List<String> chosen = new ArrayList<>();
        List<String> rest = new ArrayList<>();
        double scale = scale(byRegion, shares);
        byRegion.forEach((region, addresses) -> {
            shuffle(addresses);
            double wanted = shares.getOrDefault(region, 0.0) * scale;
            int count = (int) wanted + (random.nextDouble() < wanted - Math.floor(wanted) ? 1 : 0);
            int taken = Math.min(addresses.size(), count);
            chosen.addAll(addresses.subList(0, taken));
            rest.addAll(addresses.subList(taken, addresses.size()));
        });
        while (chosen.size() < LEAST_ADDRESSES && !rest.isEmpty()) {
            chosen.add(rest.remove(random.nextInt(rest.size())));
        }
        return chosen.size() <= MOST_ADDRESSES ? chosen : chosen.subList(0, MOST_ADDRESSES);
    }

    private void shuffle(List<String> addresses) {
        for (int i = addresses.size() - 1; i > 0; i--) {
            Collections.swap(addresses, i, random.nextInt(i + 1));
        }
    }

    /** Returns the regions whose entry instances may be named; empty for all. */
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

    /** Returns the share of each region in the slots for these routes, each pool counting the same; sums up to 1. */
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
     * Divides the callers of a region among all regions.
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

    /** Returns the number of addresses at which the region that is scarcest for its share is used up. */
    private static double scale(Map<String, List<String>> byRegion, Map<String, Double> shares) {
        double scale = MOST_ADDRESSES;
        for (Map.Entry<String, List<String>> entry : byRegion.entrySet()) {
            double share = shares.getOrDefault(entry.getKey(), 0.0);
            if (share > 0) {
                scale = Math.min(scale, entry.getValue().size() / share);
            }
        }
        return scale;
    }
}
