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
 * @param methods HTTP methods, upper case, at least one
 * @param rank urgency
 * @param idempotent whether a request may run more than once
 * @param pool name of the pool that serves it
 * @param timeout longest time to an answer
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        Set<String> methods,
        Rank rank,
        boolean idempotent,
        String pool,
        Duration timeout) {
    /** Copies the methods in sorted order. */
    public Route {
        if (methods.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no method");
        }
        methods = java.util.Collections.unmodifiableSortedSet(new TreeSet<>(methods));
    }

    /** Returns whether a request of this host, method and path belongs to the route. */
    public boolean matches(String requestHost, String method, String path) {
        if (!methods.contains(method)) {
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
