package org.cowsliplatch.internal.place;

import java.util.LinkedHashSet;
import java.util.Set;

/** LRU model of the objects that an endpoint has cached, as seen by its grantor; guarded by the grantor's lock. */
public final class RecentObjects {
    private final int capacity;
    private final Set<String> objects = new LinkedHashSet<>();

    /**
     * Creates an empty model.
     *
     * @param capacity number of objects that the endpoint is assumed to cache
     */
    public RecentObjects(int capacity) {
        this.capacity = capacity;
    }

    /** Returns whether the object is among the most recently used. */
    public boolean contains(String object) {
        return objects.contains(object);
    }

    /** Records a use of an object and evicts the least recently used one if the capacity is exceeded. */
    public void touch(String object) {
        objects.remove(object);
        objects.add(object);
        if (objects.size() > capacity) {
            objects.remove(objects.iterator().next());
        }
    }
}
