package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.RouteOptions;

/** Chooses the region whose endpoints serve a request received by this entry instance. */
public final class RegionChooser {
    private final String home;
    private final DoubleSupplier random;

    /**
     * Creates a chooser.
     *
     * @param home region of this entry instance
     * @param random source of uniform random numbers in [0, 1), thread-safe
     */
    public RegionChooser(String home, DoubleSupplier random) {
        this.home = home;
        this.random = random;
    }

    /** Returns the region of this entry instance. */
    public String home() {
        return home;
    }

    /**
     * Returns the region in which to request a slot: the home region if the pool has endpoints there, since the caller
     * was already directed here by a look-up answer; otherwise another region at random, weighted by its share. Empty
     * if the pool has no endpoint in a region that the route allows.
     */
    public Optional<String> choose(Pool pool, EndpointDirectory endpoints, RouteOptions options) {
        Set<String> regions = new LinkedHashSet<>(endpoints.regions(pool.service()));
        regions.removeIf(region -> !options.allows(region));
        if (regions.contains(home)) {
            return Optional.of(home);
        }
        List<String> weighted = new ArrayList<>();
        double total = 0;
        for (String region : regions) {
            if (pool.share(region) > 0) {
                weighted.add(region);
                total += pool.share(region);
            }
        }
        if (weighted.isEmpty()) {
            List<String> allowed = List.copyOf(regions);
            return allowed.isEmpty()
                    ? Optional.empty()
                    : Optional.of(allowed.get((int) (random.getAsDouble() * allowed.size())));
        }
        double point = random.getAsDouble() * total;
        for (String region : weighted) {
            point -= pool.share(region);
            if (point < 0) {
                return Optional.of(region);
            }
        }
        return Optional.of(weighted.get(weighted.size() - 1));
    }
}
