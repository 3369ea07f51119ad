package org.cowsliplatch.internal.steer;

import java.util.HashSet;
import java.util.Set;

/**
 * Publishes the known endpoints and the evacuated zones to the steering view.
 *
 * <p>Endpoints and evacuations are updated by different threads. Building the directory and publishing it is atomic
 * here, so that neither thread overwrites a newer state with an older one.
 */
public final class EndpointPublisher {
    private final EndpointRegistry registry;
    private final SteeringViewHolder views;
    private final Set<String> evacuatedZones = new HashSet<>();

    /**
     * Creates a publisher that has published nothing.
     *
     * @param registry known endpoints
     * @param views holder of the view that is updated
     */
    public EndpointPublisher(EndpointRegistry registry, SteeringViewHolder views) {
        this.registry = registry;
        this.views = views;
    }

    /** Evacuates an availability zone, so that its endpoints receive no requests; returns false if it already was. */
    public synchronized boolean evacuate(String zone) {
        boolean added = evacuatedZones.add(zone);
        if (added) {
            publish();
        }
        return added;
    }

    /** Ends the evacuation of an availability zone; a zone that is not evacuated is ignored. */
    public synchronized void endEvacuation(String zone) {
        if (evacuatedZones.remove(zone)) {
            publish();
        }
    }

    /** Publishes the current state of the registry. */
    public synchronized void publish() {
        views.updateEndpoints(new EndpointDirectory(registry.instances(), evacuatedZones, registry.removedIds()));
    }
}
