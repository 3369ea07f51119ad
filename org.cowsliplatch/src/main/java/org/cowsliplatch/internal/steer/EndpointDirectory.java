package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.ListedEndpoint;
import org.cowsliplatch.platform.Instance;
import org.jspecify.annotations.Nullable;

/** Snapshot of the listed backend servers; immutable, with the figures that each request needs precomputed. */
public final class EndpointDirectory {
    /** The empty directory, used before the first list is read. */
    public static final EndpointDirectory EMPTY = new EndpointDirectory(List.of());

    private final List<Instance> instances;
    private final Set<String> evacuatedZones;
    private final Set<String> removedIds;

    private final Set<String> leavingOrGone;
    private final Map<String, Map<String, Integer>> slotsByService = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param instances all listed instances except the entry instances
     * @param evacuatedZones availability zones whose endpoints currently receive no requests
     * @param removedIds ids of endpoints that were listed and no longer are
     */
    public EndpointDirectory(List<Instance> instances, Set<String> evacuatedZones, Set<String> removedIds) {
        this.instances = List.copyOf(instances);
        this.evacuatedZones = Set.copyOf(evacuatedZones);
        this.removedIds = Set.copyOf(removedIds);
        Set<String> unavailable = new HashSet<>(removedIds);
        for (Instance instance : instances) {
            if (instance.leaving()) {
                unavailable.add(instance.id());
            }
            if (isUsable(instance)) {
                slotsByService
                        .computeIfAbsent(instance.service(), key -> new TreeMap<>())
                        .merge(instance.region(), Math.max(1, instance.slots()), Integer::sum);
            }
        }
        this.leavingOrGone = Set.copyOf(unavailable);
    }

    /** Creates a directory without evacuated zones or removed endpoints. */
    public EndpointDirectory(List<Instance> instances) {
        this(instances, Set.of(), Set.of());
    }

    /** Returns this directory with some of the listed endpoints as leaving. */
    EndpointDirectory withLeaving(Set<String> ids) {
        List<Instance> marked = instances.stream()
                .map(instance -> ids.contains(instance.id()) ? instance.asLeaving() : instance)
                .toList();
        return marked.equals(instances) ? this : new EndpointDirectory(marked, evacuatedZones, removedIds);
    }

    /** Returns all listed instances except the entry instances. */
    public List<Instance> instances() {
        return instances;
    }

    /** Returns the availability zones whose endpoints currently receive no requests. */
    public Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    /** Returns whether an endpoint is known to be leaving or to have been removed. */
    public boolean isLeavingOrGone(String id) {
        return leavingOrGone.contains(id);
    }

    /** Returns the endpoints of a service in a region, including those that are leaving or evacuated. */
    public List<ListedEndpoint> endpoints(String service, String region) {
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (Instance instance : instances) {
            if (instance.service().equals(service) && instance.region().equals(region)) {
                endpoints.add(new ListedEndpoint(
                        new Endpoint(instance.id(), instance.address(), instance.region(), instance.zone()),
                        instance.slots(),
                        instance.leaving(),
                        evacuatedZones.contains(instance.zone()),
                        instance.coldUntilNanos()));
            }
        }
        return endpoints;
    }

    /** Returns the regions in which a service has usable endpoints, sorted by name. */
    public Set<String> regions(String service) {
        return Collections.unmodifiableSet(
                slotsByService.getOrDefault(service, Map.of()).keySet());
    }

    /**
     * Returns the slots of a service's usable endpoints by region; an endpoint that reports none counts as one slot.
     */
    public Map<String, Integer> slots(String service) {
        return Collections.unmodifiableMap(slotsByService.getOrDefault(service, Map.of()));
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof EndpointDirectory that
                && instances.equals(that.instances)
                && evacuatedZones.equals(that.evacuatedZones)
                && removedIds.equals(that.removedIds);
    }

    @Override
    public int hashCode() {
        return Objects.hash(instances, evacuatedZones, removedIds);
    }

    private boolean isUsable(Instance instance) {
        return !instance.leaving() && !evacuatedZones.contains(instance.zone());
    }
}
