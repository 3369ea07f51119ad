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
 * Assigns each object of a pool to a few endpoints by rendezvous hashing with bounded load.
 *
 * <p>For pools whose requests concern a bounded set of objects, where an endpoint is several times faster for the
 * objects in its small cache. If requests were spread over all endpoints, every object would be evicted before its next
 * use. Therefore each endpoint is assigned no more objects than it caches, and each object is assigned to one endpoint
 * in every availability zone as far as the caches suffice, so that requests need not leave their zone. Assignments
 * follow rendezvous order within these bounds, whatever the order in which objects arrive: few change when endpoints
 * are added or removed, and a new grantor computes the same ones.
 *
 * <p>Guarded by the grantor's lock.
 */
public final class AffinityMap {
    /** Maximum number of tracked objects; further ones are assigned without load bounds. */
    private static final int MAX_OBJECTS = 4_096;

    /** Objects beyond an equal share that an endpoint may be assigned if there are more than all caches hold. */
    private static final int MAX_EXCESS = 1;

    private static final class Load {
        final String id;
        /** Maximum number of objects, because the endpoint limits its requests or because of its cache. */
        final int maxObjects;

        int objects;

        Load(String id, int maxObjects) {
            this.id = id;
            this.maxObjects = maxObjects;
        }
    }

    private final Map<String, List<String>> assignments = new LinkedHashMap<>();
    private final Map<String, List<Load>> zones = new TreeMap<>();
    private final int cachedObjects;
    private long totalMaxObjects;
    private int plannedObjects;

    /**
     * Creates a map without endpoints.
     *
     * @param cachedObjects number of objects that an endpoint may be assigned: what it caches, or somewhat less
     */
    public AffinityMap(int cachedObjects) {
        this.cachedObjects = cachedObjects;
    }

    /**
     * Replaces the endpoints and reassigns all objects.
     *
     * @param zoneOfId availability zone of each endpoint id
     */
    public void updateEndpoints(Map<String, String> zoneOfId) {
        updateEndpoints(zoneOfId, Map.of());
    }

    /**
     * Replaces the endpoints and reassigns all objects.
     *
     * @param zoneOfId availability zone of each endpoint id
     * @param maxObjects maximum number of objects of the endpoints that can't take the requests for a full cache
     */
    public void updateEndpoints(Map<String, String> zoneOfId, Map<String, Integer> maxObjects) {
        zones.clear();
        totalMaxObjects = 0;
        new TreeMap<>(zoneOfId).forEach((id, zone) -> {
            Load load = new Load(id, Math.min(cachedObjects, maxObjects.getOrDefault(id, cachedObjects)));
            totalMaxObjects += load.maxObjects;
            zones.computeIfAbsent(zone, key -> new ArrayList<>()).add(load);
        });
        rebalance(List.copyOf(assignments.keySet()));
    }

    /** Returns the objects that are assigned. */
    public Collection<String> objectNames() {
        return List.copyOf(assignments.keySet());
    }

    /** Returns the number of objects that are assigned. */
    public int objects() {
        return assignments.size();
    }

    /** Returns the ids of the endpoints assigned to an object, one in each zone as far as the caches suffice. */
    public List<String> endpointsFor(String object) {
        List<String> known = assignments.get(object);
        if (known != null) {
            return known;
        }
        if (assignments.size() >= 2 * Math.max(1, plannedObjects)) {
            List<String> objects = new ArrayList<>(assignments.keySet());
            objects.add(object);
            rebalance(objects);
            return assignments.getOrDefault(object, List.of());
        }
        return assignments.size() < MAX_OBJECTS ? assign(object) : selectEndpoints(object, Integer.MAX_VALUE);
    }

    private void rebalance(Collection<String> objects) {
        assignments.clear();
        zones.values().forEach(loads -> loads.forEach(load -> load.objects = 0));
        plannedObjects = objects.size();
        objects.stream().sorted(Comparator.naturalOrder()).forEach(this::assign);
    }

    private List<String> assign(String object) {
        int totalObjects = Math.max(assignments.size() + 1, plannedObjects);
        List<String> chosen = selectEndpoints(object, totalObjects);
        assignments.put(object, chosen);
        return chosen;
    }

    private List<String> selectEndpoints(String object, int totalObjects) {
        boolean everyZone = (long) totalObjects * zones.size() <= totalMaxObjects;
        if (everyZone) {
            List<String> chosen = new ArrayList<>();
            for (List<Load> loads : zones.values()) {
                selectOne(object, loads, totalObjects, chosen);
            }
            return chosen;
        }
        List<Load> all = new ArrayList<>();
        zones.values().forEach(all::addAll);
        List<String> chosen = new ArrayList<>();
        selectOne(object, all, totalObjects, chosen);
        return chosen;
    }

    /** Selects the first endpoint in rendezvous order whose load is below its bound. */
    private void selectOne(String object, List<Load> loads, int totalObjects, List<String> chosen) {
        Map<String, Load> byId = new HashMap<>();
        loads.forEach(load -> byId.put(load.id, load));
        int equalShare = totalObjects / Math.max(1, loads.size()) + MAX_EXCESS;
        for (String id : Rendezvous.order(object, byId.keySet())) {
            Load load = byId.get(id);
            if (load != null && (load.objects < maxObjects(load, equalShare) || totalObjects == Integer.MAX_VALUE)) {
                load.objects++;
                chosen.add(id);
                return;
            }
        }
    }

    /** Returns the bound of an endpoint: its cache, or an equal share if there are more objects than all caches hold. */
    private int maxObjects(Load load, int equalShare) {
        return load.maxObjects < cachedObjects ? load.maxObjects : Math.max(cachedObjects, equalShare);
    }
}
