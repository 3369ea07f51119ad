package org.cowsliplatch.internal.proxy;

import java.time.Duration;
import org.cowsliplatch.internal.limit.RetryAfterPolicy;

/**
 * Deployment-specific options for serving requests.
 *
 * @param maxBufferedBodyBytes maximum length of a body that is buffered in memory while its request waits for a slot, so
 *     that it can be sent again
 * @param callerDelay network delay between caller and entry instance, which counts towards the route's latency target
 * @param reservesRetryTime whether an attempt at an idempotent request times out before the request's deadline, so that
 *     time remains for another attempt
 * @param retryAfterPolicy when refused callers retry, and how such retries are recognized
 */
public record ServingPolicy(
        int maxBufferedBodyBytes, Duration callerDelay, boolean reservesRetryTime, RetryAfterPolicy retryAfterPolicy) {
    private static final int DEFAULT_MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    /** Policy of the product's own interface. */
    public static final ServingPolicy DEFAULT =
            new ServingPolicy(DEFAULT_MAX_BUFFERED_BODY_BYTES, Duration.ZERO, true, RetryAfterPolicy.UNKNOWN_LIMITS);
}
