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

/** Backend servers as last listed; immutable, with what each request asks of them worked out once. */
public final class EndpointDirectory {
    /** A directory before the first list was read. */
    public static final EndpointDirectory EMPTY = new EndpointDirectory(List.of());

    private final List<Instance> instances;
    private final Set<String> evacuatedZones;
    private final Set<String> gone;
    private final Set<String> left;
    private final Map<String, Map<String, Integer>> slotsByService = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param instances all listed instances but the entry instances
     * @param evacuatedZones availability zones whose endpoints get nothing for now
     * @param gone ids of endpoints that were listed and are no longer
     */
    public EndpointDirectory(List<Instance> instances, Set<String> evacuatedZones, Set<String> gone) {
        this.instances = List.copyOf(instances);
        this.evacuatedZones = Set.copyOf(evacuatedZones);
        this.gone = Set.copyOf(gone);
        Set<String> leaving = new HashSet<>(gone);
        for (Instance instance : instances) {
            if (instance.leaving()) {
                leaving.add(instance.id());
            }
            if (isUsable(instance)) {
                slotsByService
                        .computeIfAbsent(instance.service(), key -> new TreeMap<>())
                        .merge(instance.region(), Math.max(1, instance.slots()), Integer::sum);
            }
        }
        this.left = Set.copyOf(leaving);
    }

    /** Creates a directory without evacuations. */
    public EndpointDirectory(List<Instance> instances) {
        this(instances, Set.of(), Set.of());
    }

    /** Returns all listed instances but the entry instances. */
    public List<Instance> instances() {
        return instances;
    }

    /** Returns the availability zones whose endpoints get nothing for now. */
    public Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    /** Returns whether an endpoint is known to leave, or to have left. */
    public boolean isLeavingOrGone(String id) {
        return left.contains(id);
    }

    /** Returns the endpoints of a service in a region, leaving and suspended ones included. */
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

    /** Returns the regions in which a service has usable endpoints, by name. */
    public Set<String> regions(String service) {
        return Collections.unmodifiableSet(
                slotsByService.getOrDefault(service, Map.of()).keySet());
    }

    /** Returns the slots of a service's usable endpoints by region; an endpoint that does not tell counts one. */
    public Map<String, Integer> slots(String service) {
        return Collections.unmodifiableMap(slotsByService.getOrDefault(service, Map.of()));
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof EndpointDirectory that
                && instances.equals(that.instances)
                && evacuatedZones.equals(that.evacuatedZones)
                && gone.equals(that.gone);
    }

    @Override
    public int hashCode() {
        return Objects.hash(instances, evacuatedZones, gone);
    }

    private boolean isUsable(Instance instance) {
        return !instance.leaving() && !evacuatedZones.contains(instance.zone());
    }
}
