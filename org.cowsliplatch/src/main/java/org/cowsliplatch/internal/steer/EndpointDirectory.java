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
    /** Ids of endpoints that are leaving, listed or not. */
    private final Set<String> leavingIds;

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
        this(instances, evacuatedZones, removedIds, Set.of());
    }

    private EndpointDirectory(
            List<Instance> instances, Set<String> evacuatedZones, Set<String> removedIds, Set<String> leavingIds) {
        this.instances = instances.stream()
                .map(instance -> leavingIds.contains(instance.id()) ? instance.asLeaving() : instance)
                .toList();
        this.evacuatedZones = Set.copyOf(evacuatedZones);
        this.removedIds = Set.copyOf(removedIds);
        this.leavingIds = Set.copyOf(leavingIds);
        Set<String> unavailable = new HashSet<>(removedIds);
        unavailable.addAll(leavingIds);
        for (Instance instance : this.instances) {
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

    /** Returns this directory with more endpoints that are leaving, which need not be listed. */
    EndpointDirectory withLeaving(Set<String> ids) {
        return leavingIds.equals(ids) ? this : new EndpointDirectory(instances, evacuatedZones, removedIds, ids);
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
                && removedIds.equals(that.removedIds)
                && leavingIds.equals(that.leavingIds);
    }

    @Override
    public int hashCode() {
        return Objects.hash(instances, evacuatedZones, removedIds, leavingIds);
    }

    private boolean isUsable(Instance instance) {
        return !instance.leaving() && !evacuatedZones.contains(instance.zone());
    }
}
