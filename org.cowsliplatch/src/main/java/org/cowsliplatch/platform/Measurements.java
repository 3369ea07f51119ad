package org.cowsliplatch.platform;

import java.util.List;
import org.cowsliplatch.errors.PlatformUnavailableException;

/** The platform's measurements of links between regions; they lag, stop and may mislead. */
public interface Measurements {
    /**
     * Traffic of all kinds on one link in one direction.
     *
     * @param from region the traffic leaves
     * @param to region the traffic reaches
     * @param bitsPerSecond traffic
     * @param ageMs age of the figure when it was read
     */
    record LinkTraffic(String from, String to, long bitsPerSecond, long ageMs) {}

    /**
     * Returns the latest figure of each link.
     *
     * @throws PlatformUnavailableException if no answer came
     */
    List<LinkTraffic> links() throws PlatformUnavailableException;
}
