package org.cowsliplatch.standin;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.platform.ObjectStore;

/** Object store in memory that can be away, slow, or lose answers. */
public final class MemoryObjectStore implements ObjectStore {
    private static final String NAME = "object store";

    private final Faults faults = new Faults();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

    /** Returns the failures to have. */
    public Faults faults() {
        return faults;
    }

    @Override
    public Optional<byte[]> read(String name) throws PlatformUnavailableException {
        if (faults.failsBefore()) {
            throw new PlatformUnavailableException(NAME, "read " + name, null);
        }
        return Optional.ofNullable(objects.get(name)).map(byte[]::clone);
    }

    @Override
    public void write(String name, byte[] content) throws PlatformUnavailableException {
        if (faults.failsBefore()) {
            throw new PlatformUnavailableException(NAME, "write " + name, null);
        }
        objects.put(name, content.clone());
        if (faults.losesAnswer()) {
            throw new PlatformUnavailableException(NAME, "write " + name, null);
        }
    }
}
