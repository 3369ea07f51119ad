package org.cowsliplatch.platform;

import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;

/** The platform's object store: whole objects under names. */
public interface ObjectStore {
    /**
     * Returns an object, or empty if there is none.
     *
     * @throws PlatformUnavailableException if no answer came
     */
    Optional<byte[]> read(String name) throws PlatformUnavailableException;

    /**
     * Writes an object, replacing an older one; writing the same content twice is harmless.
     *
     * @throws PlatformUnavailableException if no answer came; the object may have been written
     */
    void write(String name, byte[] content) throws PlatformUnavailableException;
}
