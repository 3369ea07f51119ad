package org.cowsliplatch.internal.limit;

/**
 * Identifies a group: the endpoints of one pool in one region, whose slots are granted by one entry instance.
 *
 * @param pool name of the pool
 * @param region region of the endpoints
 */
public record GroupId(String pool, String region) {
    /** Returns the rendezvous hashing key by which the grantor is chosen. */
    public String key() {
        return pool + "@" + region;
    }
}
