package org.cowsliplatch.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.platform.InstanceList;

/** Instance list in memory that can be away or slow, and that lags behind until told to catch up. */
public final class MemoryInstanceList implements InstanceList {
    private final Faults faults = new Faults();
    private final Map<String, Instance> now = new LinkedHashMap<>();
    private List<Instance> shown = List.of();
    private boolean lagging;

    /** Returns the failures to have. */
    public Faults faults() {
        return faults;
    }

    /** Adds an instance, or replaces the one with its id. */
    public synchronized void put(Instance instance) {
        now.put(instance.id(), instance);
        showUnlessLagging();
    }

    /** Removes an instance. */
    public synchronized void remove(String id) {
        now.remove(id);
        showUnlessLagging();
    }

    /** Marks an instance as leaving. */
    public synchronized void leave(String id) {
        Instance old = now.get(id);
        if (old != null) {
            put(new Instance(old.service(), old.id(), old.address(), old.region(), old.zone(), true));
        }
    }

    /** Keeps showing the present state while others change, or shows the true one again. */
    public synchronized void lag(boolean isLagging) {
        lagging = isLagging;
        showUnlessLagging();
    }

    @Override
    public List<Instance> instances() throws PlatformUnavailableException {
        if (faults.failsBefore()) {
            throw new PlatformUnavailableException("instance list", "read", null);
        }
        synchronized (this) {
            return shown;
        }
    }

    private void showUnlessLagging() {
        if (!lagging) {
            shown = List.copyOf(new ArrayList<>(now.values()));
        }
    }
}
