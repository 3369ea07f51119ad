package org.cowsliplatch.internal.limit;

/**
 * Load of one group of endpoints.
 *
 * @param slots slots that may be used
 * @param free slots that are free
 * @param outstanding requests at the endpoints
 * @param waiting asks that wait for a slot
 */
public record GroupLoad(int slots, int free, int outstanding, int waiting) {
    /** Load of a group without endpoints. */
    public static final GroupLoad NONE = new GroupLoad(0, 0, 0, 0);
}
