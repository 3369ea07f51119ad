package org.cowsliplatch.platform;

/**
 * One running instance of a service, as the platform's lagging list names it.
 *
 * @param service name of the service
 * @param id unique for each start of the instance
 * @param address IP number and port, such as {@code 10.0.0.7:8080}
 * @param region region
 * @param zone availability zone
 * @param leaving whether the instance was told to leave
 */
public record Instance(String service, String id, String address, String region, String zone, boolean leaving) {}
