package org.cowsliplatch.platform;

/**
 * One running instance of a service, as listed by the platform; the list may be outdated.
 *
 * @param service name of the service
 * @param id unique for each start of the instance
 * @param address IP address and port, such as {@code 10.0.0.7:8080}
 * @param region region
 * @param zone availability zone
 * @param leaving whether the instance is leaving
 * @param slots maximum number of concurrent requests; 0 if the list does not give it
 * @param coldUntilNanos end of its warm-up in ns on the monotonic clock of this process; {@link #WARM} if it is not
 *     cold
 */
public record Instance(
        String service,
        String id,
        String address,
        String region,
        String zone,
        boolean leaving,
        int slots,
        long coldUntilNanos) {
    /** Value of {@code coldUntilNanos} for instances that are not cold. */
    public static final long WARM = Long.MIN_VALUE;

    /** Returns this instance as leaving. */
    public Instance asLeaving() {
        return leaving ? this : new Instance(service, id, address, region, zone, true, slots, coldUntilNanos);
    }

    /** Creates an instance that is not cold and whose number of slots is not listed. */
    public Instance(String service, String id, String address, String region, String zone, boolean leaving) {
        this(service, id, address, region, zone, leaving, 0, WARM);
    }
}
