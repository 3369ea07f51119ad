package org.cowsliplatch.table;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;

/**
 * One row of the route table: which requests it matches and how they are served.
 *
 * @param name unique name
 * @param host host name of matching requests, lower case, or {@code *} for any
 * @param pathPrefix path prefix of matching requests, starts with a slash
 * @param methods HTTP methods, upper case, at least one; {@value #ANY_METHOD} stands for all
 * @param rank priority of its requests
 * @param idempotent whether its requests may run more than once
 * @param pool name of the pool that serves it; if traffic is split, the pool with the greatest weight
 * @param timeout maximum time from the arrival of a request to its answer
 * @param options further options
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        Set<String> methods,
        Rank rank,
        boolean idempotent,
        String pool,
        Duration timeout,
        RouteOptions options) {
    /** Matches all HTTP methods. */
    public static final String ANY_METHOD = "*";

    /** Creates a route with default options. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            Set<String> methods,
            Rank rank,
            boolean idempotent,
            String pool,
            Duration timeout) {
        this(name, host, pathPrefix, methods, rank, idempotent, pool, timeout, RouteOptions.defaults(pool, timeout));
    }

    /** Copies the methods in sorted order, so that the encoded row and its digest are stable. */
    public Route {
        if (methods.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no methods");
        }
        methods = java.util.Collections.unmodifiableSortedSet(new TreeSet<>(methods));
    }

    /** Returns whether the route matches a request with this host, method and path. */
    public boolean matches(String requestHost, String method, String path) {
        if (!methods.contains(method) && !methods.contains(ANY_METHOD)) {
            return false;
        }
        return matchesPath(requestHost, path);
    }

    /** Returns whether the route matches a request with this host and path, regardless of the method. */
    public boolean matchesPath(String requestHost, String path) {
        if (!host.equals("*") && !host.equals(requestHost)) {
            return false;
        }
        if (!path.startsWith(pathPrefix)) {
            return false;
        }
        return path.length() == pathPrefix.length()
                || pathPrefix.endsWith("/")
                || path.charAt(pathPrefix.length()) == '/';
    }
}
