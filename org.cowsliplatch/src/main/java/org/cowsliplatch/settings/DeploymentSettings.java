package org.cowsliplatch.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Settings of an entry instance on a platform with a row store, read before it starts.
 *
 * @param instance name of this entry instance, unique in the system
 * @param region region of this entry instance
 * @param zone availability zone of this entry instance
 * @param regionOfZone region of each availability zone
 * @param listen addresses of its listeners
 * @param store address of the platform's row store
 * @param grace time from the signal for a planned stop until the process exits
 * @param lookupTtl time for which callers may cache an answer of the directory
 * @param repeats system-wide retry budget
 * @param bounds times in which confirmed changes must be in force
 */
public record DeploymentSettings(
        String instance,
        String region,
        String zone,
        SortedMap<String, String> regionOfZone,
        Listen listen,
        InetSocketAddress store,
        Duration grace,
        Duration lookupTtl,
        Repeats repeats,
        Bounds bounds) {
    /** Makes a defensive copy of the zones. */
    public DeploymentSettings {
        regionOfZone = Collections.unmodifiableSortedMap(new TreeMap<>(regionOfZone));
    }

    /**
     * Retry budget for the endpoints of one service.
     *
     * @param perRequest retries allowed for each request
     * @param slack additional retries allowed within the window of the budget
     * @param sharers minimum number of entry instances among which the slack is divided
     */
    public record Repeats(double perRequest, double slack, int sharers) {}

    /**
     * Times in which changes that the store has confirmed must be in force.
     *
     * @param configuration time for a configuration
     * @param leaving time after which a leaving backend server gets no new requests
     * @param contact time after a disruption of its connections from which an entry instance must keep the others
     */
    public record Bounds(Duration configuration, Duration leaving, Duration contact) {
        /** Checks that all times are positive. */
        public Bounds {
            for (Duration bound : List.of(configuration, leaving, contact)) {
                if (bound.isNegative() || bound.isZero()) {
                    throw new IllegalArgumentException("a bound is " + bound + ", expected a positive time");
                }
            }
        }

        /** Returns the shortest of the times. */
        public Duration strictest() {
            return Collections.min(List.of(configuration, leaving, contact));
        }
    }

    /**
     * Addresses of the listeners.
     *
     * @param caller listener for requests of callers
     * @param ready listener for the platform's readiness checks
     * @param directory listener for callers that look up entry instances
     * @param peer listener for other entry instances
     * @param metrics listener for metrics and status
     */
    public record Listen(
            InetSocketAddress caller,
            InetSocketAddress ready,
            InetSocketAddress directory,
            InetSocketAddress peer,
            InetSocketAddress metrics) {}
}
