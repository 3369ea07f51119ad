package org.cowsliplatch.platform;

import java.util.List;
import org.cowsliplatch.errors.PlatformUnavailableException;

/** The platform's list of live and leaving instances. It is eventually consistent and may be outdated. */
public interface InstanceList {
    /**
     * Returns all instances that are currently listed.
     *
     * @throws PlatformUnavailableException if there was no response
     */
    List<Instance> instances() throws PlatformUnavailableException;
}
