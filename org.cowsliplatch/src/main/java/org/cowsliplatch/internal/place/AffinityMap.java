package org.cowsliplatch.internal.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cowsliplatch.internal.util.Rendezvous;

/**
 * Assigns each object of a pool to the few endpoints that should handle it.
 *
 * <p>The load it answers: requests about a bounded set of objects, where an endpoint is several times faster for the
 * objects that it handled lately but remembers few. Spread over all endpoints, every object is forgotten before it
 * returns. Here each endpoint gets no more objects than it remembers, and each object has one home in every
 * availability zone where memory allows, so that a request need not leave its zone. Homes follow rendezvous order as
 * long as memory allows, whatever the order in which objects come: few move when endpoints come and go, and a new
 * grantor arrives at the same homes.
 *
 * <p>Guarded by the grantor's lock.
 */
public final class AffinityMap {
    /** Objects that an endpoint is taken to remember; the endpoints measured remember 12 to 25. */
    public static final int CACHED_OBJECTS = 14;

    /** Objects that are tracked; beyond them homes are chosen without balance. */
    private static final int MOST_OBJECTS = 4_096;

    /** Objects above an equal share that one endpoint may get where there are more than all remember. */
    private static final int SLACK = 1;

    private static final class Load {
        final String id;
        int objects;

        Load(String id) {
            this.id = id;
        }
    }

    private final Map<String, List<String>> homes = new LinkedHashMap<>();
    private final Map<String, List<Load>> zones = new TreeMap<>();
    private int endpoints;
    private int plannedFor;

    /**
     * Takes over the endpoints among which objects are divided.
     *
     * @param zoneOfId availability zone of each endpoint id
     */
    public void updateEndpoints(Map<String, String> zoneOfId) {
        zones.clear();
        endpoints = zoneOfId.size();
        new TreeMap<>(zoneOfId).forEach((id, zone) -> zones.computeIfAbsent(zone, key -> new ArrayList<>())
                .add(new Load(id)));
        plan(List.copyOf(homes.keySet()));
    }

    /** Returns the ids of the endpoints that should handle an object, one in each zone where memory allows. */
    public List<String> endpointsFor(String object) {
        List<String> known = homes.get(object);
        if (known != null) {
            return known;
        }
        if (homes.size() >= 2 * Math.max(1, plannedFor)) {
            List<String> objects = new ArrayList<>(homes.keySet());
            objects.add(object);
            plan(objects);
            return homes.getOrDefault(object, List.of());
        }
        return homes.size() < MOST_OBJECTS ? assign(object) : choose(object, Integer.MAX_VALUE);
    }

    private void plan(Collection<String> objects) {
        homes.clear();
        zones.values().forEach(loads -> loads.forEach(load -> load.objects = 0));
        plannedFor = objects.size();
        objects.stream().sorted(Comparator.naturalOrder()).forEach(this::assign);
    }

    private List<String> assign(String object) {
        int total = Math.max(homes.size() + 1, plannedFor);
        List<String> chosen = choose(object, total);
        homes.put(object, chosen);
        return chosen;
    }

    private List<String> choose(String object, int total) {
        boolean everyZone = (long) total * zones.size() <= (long) endpoints * CACHED_OBJECTS;
        if (everyZone) {
            List<String> chosen = new ArrayList<>();
            for (List<Load> loads : zones.values()) {
                take(object, loads, total, chosen);
            }
            return chosen;
        }
        List<Load> all = new ArrayList<>();
        zones.values().forEach(all::addAll);
        List<String> chosen = new ArrayList<>();
        take(object, all, total, chosen);
        return chosen;
    }

    /** Takes the first endpoint in rendezvous order that remembers one more, or has not got its share yet. */
    private static void take(String object, List<Load> loads, int total, List<String> chosen) {
        Map<String, Load> byId = new HashMap<>();
        loads.forEach(load -> byId.put(load.id, load));
        int most = Math.max(CACHED_OBJECTS, total / Math.max(1, loads.size()) + SLACK);
        for (String id : Rendezvous.order(object, byId.keySet())) {
            Load load = byId.get(id);
            if (load != null && (load.objects < most || total == Integer.MAX_VALUE)) {
                load.objects++;
                chosen.add(id);
                return;
            }
        }
    }
}
