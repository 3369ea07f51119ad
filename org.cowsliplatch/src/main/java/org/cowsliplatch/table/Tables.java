package org.cowsliplatch.table;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Collections;
import java.util.HexFormat;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The route table and the pool table as one immutable value; names are unique and the pools of each route exist. */
public final class Tables {
    private static final Tables EMPTY = new Tables(Map.of(), Map.of());

    private final SortedMap<String, Route> routes;
    private final SortedMap<String, Pool> pools;
    private final String digest;

    private Tables(Map<String, Route> routes, Map<String, Pool> pools) {
        this.routes = Collections.unmodifiableSortedMap(new TreeMap<>(routes));
        this.pools = Collections.unmodifiableSortedMap(new TreeMap<>(pools));
        this.digest = digestOf(this.routes.values(), this.pools.values());
    }

    /** Returns tables without rows. */
    public static Tables empty() {
        return EMPTY;
    }

    /**
     * Creates tables with these rows.
     *
     * @throws IllegalArgumentException if a name is not unique or a route refers to an unknown pool
     */
    public static Tables of(Collection<Route> routes, Collection<Pool> pools) {
        Map<String, Pool> poolsByName = new TreeMap<>();
        for (Pool pool : pools) {
            if (poolsByName.put(pool.name(), pool) != null) {
                throw new IllegalArgumentException("pool " + pool.name() + " is not unique");
            }
        }
        Map<String, Route> routesByName = new TreeMap<>();
        for (Route route : routes) {
            if (routesByName.put(route.name(), route) != null) {
                throw new IllegalArgumentException("route " + route.name() + " is not unique");
            }
            for (String pool : route.options().split().keySet()) {
                if (!poolsByName.containsKey(pool)) {
                    throw new IllegalArgumentException("route " + route.name() + " refers to unknown pool " + pool);
                }
            }
        }
        return new Tables(routesByName, poolsByName);
    }

    /** Returns the routes by name. */
    public SortedMap<String, Route> routes() {
        return routes;
    }

    /** Returns the pools by name. */
    public SortedMap<String, Pool> pools() {
        return pools;
    }

    /** Returns the SHA-256 digest of the rows in canonical form, in hexadecimal. */
    public String digest() {
        return digest;
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof Tables tables && tables.digest.equals(digest);
    }

    @Override
    public int hashCode() {
        return digest.hashCode();
    }

    private static String digestOf(Collection<Route> routes, Collection<Pool> pools) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            for (Route route : routes) {
                sha.update(RowCodec.columns(route).toString().getBytes(StandardCharsets.UTF_8));
            }
            sha.update((byte) 0);
            for (Pool pool : pools) {
                sha.update(RowCodec.columns(pool).toString().getBytes(StandardCharsets.UTF_8));
            }
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
