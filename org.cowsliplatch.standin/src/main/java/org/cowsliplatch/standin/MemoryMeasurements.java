package org.cowsliplatch.standin;

import java.util.List;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.platform.Measurements;

/** Measurements in memory: what it is told is what it shows, true or not. */
public final class MemoryMeasurements implements Measurements {
    private final Faults faults = new Faults();
    private volatile List<LinkTraffic> links = List.of();

    /** Returns the failures to have. */
    public Faults faults() {
        return faults;
    }

    /** Sets the figures to show. */
    public void show(List<LinkTraffic> figures) {
        links = List.copyOf(figures);
    }

    @Override
    public List<LinkTraffic> links() throws PlatformUnavailableException {
        if (faults.failsBefore()) {
            throw new PlatformUnavailableException("measurements", "read", null);
        }
        return links;
    }
}
