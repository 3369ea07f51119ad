package org.cowsliplatch.internal.place;

import java.util.ArrayList;
import java.util.List;

/**
 * The objects that an endpoint handled most recently, as seen by its grantor; guarded by the grantor's lock.
 *
 * <p>Caches of endpoints evict the least recently used object, so whether an object is still cached depends on the
 * number of other objects handled since.
 */
public final class RecentObjects {
    /** Distance of an object that was not handled, or longer ago than is tracked. */
    public static final int UNKNOWN_DISTANCE = -1;

    /** The most recent object last. */
    private final List<String> objects = new ArrayList<>();

    /**
     * Returns the number of other objects that were handled since an object was, or {@link #UNKNOWN_DISTANCE}.
     */
    public int distance(String object) {
        int index = objects.lastIndexOf(object);
        return index < 0 ? UNKNOWN_DISTANCE : objects.size() - 1 - index;
    }

    /** Records a use of an object. */
    public void touch(String object) {
        if (!objects.remove(object) && objects.size() >= CacheSizeEstimator.MAX_OBJECTS) {
            objects.remove(0);
        }
        objects.add(object);
    }
}
