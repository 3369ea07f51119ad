package org.cowsliplatch.standin;

import org.cowsliplatch.platform.PlatformServices;

/**
 * All services of the platform in memory.
 *
 * @param tables table service
 * @param objects object store
 * @param instances instance list
 * @param measurements measurements
 */
public record MemoryPlatform(
        MemoryTableService tables,
        MemoryObjectStore objects,
        MemoryInstanceList instances,
        MemoryMeasurements measurements) {
    /** Returns empty services. */
    public static MemoryPlatform create() {
        return new MemoryPlatform(
                new MemoryTableService(), new MemoryObjectStore(), new MemoryInstanceList(), new MemoryMeasurements());
    }

    /** Returns the services as an entry instance takes them. */
    public PlatformServices services() {
        return new PlatformServices(tables, objects, instances, measurements);
    }

    /** Makes table service and object store fail without effect, or ends that. */
    public void storeAway(boolean away) {
        tables.faults().away(away);
        objects.faults().away(away);
    }
}
