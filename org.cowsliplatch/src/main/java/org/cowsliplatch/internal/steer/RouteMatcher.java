package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cowsliplatch.table.Route;
import org.cowsliplatch.table.Tables;

/**
 * Finds the route of a request. Routes with a specific host take precedence over those for any host, and longer path
 * prefixes over shorter ones.
 */
public final class RouteMatcher {
    private static final Comparator<Route> ORDER = Comparator.comparing(
                    (Route route) -> route.host().equals("*"))
            .thenComparing(route -> -route.pathPrefix().length())
            .thenComparing(Route::name);

    private final List<Route> routes;

    /** Creates a matcher for the routes of the given tables. */
    public RouteMatcher(Tables tables) {
        List<Route> sorted = new ArrayList<>(tables.routes().values());
        sorted.sort(ORDER);
        this.routes = List.copyOf(sorted);
    }

    /** Returns the route of a request, or empty if none matches. */
    public Optional<Route> match(String host, String method, String path) {
        for (Route route : routes) {
            if (route.matches(host, method, path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the methods that any route allows for a host and path, sorted. */
    public Set<String> methods(String host, String path) {
        TreeSet<String> methods = new TreeSet<>();
        for (Route route : routes) {
            if (route.matchesPath(host, path)) {
                methods.addAll(route.methods());
            }
        }
        return methods;
    }
}
