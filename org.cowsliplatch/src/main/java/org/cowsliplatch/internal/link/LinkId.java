package org.cowsliplatch.internal.link;

/**
 * Identifies a link between two regions in one direction.
 *
 * @param from source region of the traffic
 * @param to destination region of the traffic
 */
public record LinkId(String from, String to) {
    /** Returns the name of the link in keys of stored rows. */
    public String key() {
        return from + "/" + to;
    }
}
