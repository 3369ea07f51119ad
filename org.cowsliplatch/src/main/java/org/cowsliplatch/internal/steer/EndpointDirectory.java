package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.platform.Instance;

/**
 * Backend servers as last listed; immutable.
 *
 * @param instances all listed instances but the entry instances
 */
public record EndpointDirectory(List<Instance> instances) {
    /** A directory before the first list was read. */
    public static final EndpointDirectory EMPTY = new EndpointDirectory(List.of());

    /** Copies the instances. */
    public EndpointDirectory {
        instances = List.copyOf(instances);
    }

    /** Returns the endpoints of a service in a region, leaving ones included. */
    public List<Endpoint> endpoints(String service, String region) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Instance instance : instances) {
            if (instance.service().equals(service) && instance.region().equals(region)) {
                endpoints.add(new Endpoint(instance.id(), instance.address(), instance.region(), instance.zone()));
            }
        }
        return endpoints;
    }

    /** Returns the ids of all endpoints that are leaving. */
    public Set<String> leaving() {
        Set<String> ids = new HashSet<>();
        for (Instance instance : instances) {
            if (instance.leaving()) {
                ids.add(instance.id());
            }
        }
        return ids;
    }

    /** Returns the regions in which a service has endpoints that are not leaving, in list order. */
    public Set<String> regions(String service) {
        Set<String> regions = new LinkedHashSet<>();
        for (Instance instance : instances) {
            if (instance.service().equals(service) && !instance.leaving()) {
                regions.add(instance.region());
            }
        }
        return regions;
    }
}
