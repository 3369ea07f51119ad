package org.cowsliplatch.table;

import java.time.Duration;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One row of the pool table: the endpoints of a service and the load that they may take.
 *
 * @param name unique name
 * @param service name of the service in the platform's instance list
 * @param slots maximum number of concurrent requests at one endpoint
 * @param regionWeights weight of each region in the traffic of the pool, at least 0; an edit of the weights starts a
 *     traffic shift
 * @param ramp time over which a traffic shift, or the warm-up of a cold endpoint, reaches its full share
 * @param queueLimit maximum number of requests queued at one entry instance
 * @param coldPerSecond requests per second that a cold endpoint can take; 0 if unknown
 */
public record Pool(
        String name,
        String service,
        int slots,
        SortedMap<String, Integer> regionWeights,
        Duration ramp,
        int queueLimit,
        double coldPerSecond) {
    /** Creates a pool whose cold endpoints are limited by the ramp alone. */
    public Pool(
            String name,
            String service,
            int slots,
            SortedMap<String, Integer> regionWeights,
            Duration ramp,
            int queueLimit) {
        this(name, service, slots, regionWeights, ramp, queueLimit, 0);
    }

    /** Copies the weights. */
    public Pool {
        regionWeights = Collections.unmodifiableSortedMap(new TreeMap<>(regionWeights));
    }

    /** Returns the share of the traffic that goes to a region, 0 to 1; 0 if all weights are 0. */
    public double share(String region) {
        int total = 0;
        for (int weight : regionWeights.values()) {
            total += weight;
        }
        int weight = regionWeights.getOrDefault(region, 0);
        return total == 0 ? 0 : (double) weight / total;
    }
}
