package org.cowsliplatch.internal.limit;

/**
 * The endpoints of one pool in one region, whose slots are granted by one entry instance.
 *
 * @param pool name of the pool
 * @param region region of the endpoints
 */
public record GroupId(String pool, String region) {
    /** Returns the key by which the grantor is chosen. */
    public String key() {
        return pool + "@" + region;
    }
}
