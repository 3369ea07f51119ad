package org.cowsliplatch.internal.limit;

/**
 * One backend server of a service, in one incarnation.
 *
 * @param id unique for each start
 * @param address IP number and port
 * @param region region
 * @param zone availability zone
 */
public record Endpoint(String id, String address, String region, String zone) {}
