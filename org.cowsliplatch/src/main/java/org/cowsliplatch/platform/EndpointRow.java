package org.cowsliplatch.platform;

import java.time.Duration;

/** A decoded row of the endpoints table. */
public sealed interface EndpointRow {
    /**
     * Description that an endpoint published of itself.
     *
     * @param service name of its service
     * @param address IP address and port
     * @param zone availability zone
     * @param slots maximum number of concurrent requests
     * @param leaving whether it is leaving
     * @param coldRemaining remaining duration of its warm-up after the start
     * @param startTimeMs wall-clock time of its start in ms since 1970; 0 if not given
     * @param sequence increases with each description since the same start
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
     * A row that cannot be decoded.
     *
     * @param reason the invalid field and what is wrong with it
     */
    record Unreadable(String reason) implements EndpointRow {}
}
