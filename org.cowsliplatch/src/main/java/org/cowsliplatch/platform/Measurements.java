package org.cowsliplatch.platform;

import java.util.List;
import org.cowsliplatch.errors.PlatformUnavailableException;

/** The platform's measurements of links between regions. They may be outdated, missing or wrong. */
public interface Measurements {
    /**
     * Total traffic on one link in one direction.
     *
     * @param from source region
     * @param to destination region
     * @param bitsPerSecond traffic in bit/s
     * @param ageMs age in ms of the measurement when it was read
     */
    record LinkTraffic(String from, String to, long bitsPerSecond, long ageMs) {}

    /**
     * Returns the latest measurement of each link.
     *
     * @throws PlatformUnavailableException if there was no response
     */
    List<LinkTraffic> links() throws PlatformUnavailableException;
}
