package org.cowsliplatch.platform;

import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;

/** The platform's object store: objects that are read and written as a whole by name. */
public interface ObjectStore {
    /**
     * Returns an object, or empty if there is none.
     *
     * @throws PlatformUnavailableException if there was no response
     */
    Optional<byte[]> read(String name) throws PlatformUnavailableException;

    /**
     * Writes an object, replacing an existing one. Idempotent.
     *
     * @throws PlatformUnavailableException if there was no response; the object may have been written
     */
    void write(String name, byte[] content) throws PlatformUnavailableException;
}
