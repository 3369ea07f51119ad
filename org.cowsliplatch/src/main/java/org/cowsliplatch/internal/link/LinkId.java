package org.cowsliplatch.internal.link;

/**
 * A link between regions in one direction.
 *
 * @param from region the traffic leaves
 * @param to region the traffic reaches
 */
public record LinkId(String from, String to) {
    /** Returns the name used in keys. */
    public String key() {
        return from + "/" + to;
    }
}
