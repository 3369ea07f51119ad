package org.cowsliplatch.internal.limit;

/**
 * Load of one group of endpoints.
 *
 * @param slots slots that may be used now, free or not
 * @param free free slots
 * @param outstanding requests in flight at the endpoints
 * @param waiting queued requests
 */
public record GroupLoad(int slots, int free, int outstanding, int waiting) {
    /** Load of a group without endpoints. */
    public static final GroupLoad NONE = new GroupLoad(0, 0, 0, 0);
}
