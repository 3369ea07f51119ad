package org.cowsliplatch.table;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;

/**
 * One row of the route table: which requests it matches and how they are served.
 *
 * @param name unique name
 * @param host host name the request must carry, lower case, or {@code *} for any
 * @param pathPrefix path prefix, starts with a slash
 * @param methods HTTP methods, upper case, at least one; {@value #ANY_METHOD} stands for all
 * @param rank urgency
 * @param idempotent whether a request may run more than once
 * @param pool name of the pool that serves it; with several, that of the greatest weight
 * @param timeout longest time to an answer
 * @param options how its requests are served
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
    /** Stands for all HTTP methods. */
    public static final String ANY_METHOD = "*";

    /** Creates a route with the usual options. */
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

    /** Copies the methods in sorted order. */
    public Route {
        if (methods.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no method");
        }
        methods = java.util.Collections.unmodifiableSortedSet(new TreeSet<>(methods));
    }

    /** Returns whether a request of this host, method and path belongs to the route. */
    public boolean matches(String requestHost, String method, String path) {
        if (!methods.contains(method) && !methods.contains(ANY_METHOD)) {
            return false;
        }
        return matchesPath(requestHost, path);
    }

    /** Returns whether a request of this host and path belongs to the route, whatever its method. */
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
