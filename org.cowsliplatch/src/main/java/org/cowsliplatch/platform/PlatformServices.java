package org.cowsliplatch.platform;

/**
 * The platform's services that an entry instance uses.
 *
 * @param tables table service
 * @param objects object store
 * @param instances instance list
 * @param measurements link measurements
 */
public record PlatformServices(
        TableService tables, ObjectStore objects, InstanceList instances, Measurements measurements) {}
