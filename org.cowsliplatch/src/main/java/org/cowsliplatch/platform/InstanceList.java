package org.cowsliplatch.platform;

import java.util.List;
import org.cowsliplatch.errors.PlatformUnavailableException;

/** The platform's list of live and leaving instances; it lags. */
public interface InstanceList {
    /**
     * Returns all instances listed now.
     *
     * @throws PlatformUnavailableException if no answer came
     */
    List<Instance> instances() throws PlatformUnavailableException;
}
