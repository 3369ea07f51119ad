package org.cowsliplatch.platform;

import java.time.Duration;

/** What a row of the endpoints' table says. */
public sealed interface EndpointRow {
    /**
     * An endpoint as it described itself.
     *
     * @param service name of its service
     * @param address IP number and port
     * @param zone availability zone
     * @param slots requests that it serves at a time
     * @param leaving whether it was told to leave
     * @param coldRemaining how much longer it is slow after its start
     * @param startTimeMs wall-clock time of its start in ms since 1970; 0 if it does not say
     * @param sequence rises with each description of one start
     */
    record Description(
            String service,
            String address,
            String zone,
            int slots,
            boolean leaving,
            Duration coldRemaining,
            long startTimeMs,
            long sequence)
            implements EndpointRow {}

    /**
     * The row can't be used.
     *
     * @param reason what is wrong with which field
     */
    record Unreadable(String reason) implements EndpointRow {}
}
