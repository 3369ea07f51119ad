package org.cowsliplatch.internal.proxy;

import java.time.Duration;
import org.cowsliplatch.internal.limit.RetryAfterPolicy;

/**
 * What differs between deployments in how requests are served.
 *
 * @param heldBytes longest body that is held in memory while a request waits for a slot, so that it can be sent again
 * @param callerDelay time that an answer spends on the way between caller and entry instance, which counts towards the
 *     target of its route
 * @param cutsSilentAttempts whether an attempt at an idempotent request is cut before its deadline, so that time for
 *     another remains
 * @param returns when refused callers come back, and how they are known then
 */
public record ServingPolicy(int heldBytes, Duration callerDelay, boolean cutsSilentAttempts, RetryAfterPolicy returns) {
    private static final int USUAL_HELD_BYTES = 64 * 1024;

    /** Policy of the product's own interface. */
    public static final ServingPolicy USUAL =
            new ServingPolicy(USUAL_HELD_BYTES, Duration.ZERO, true, RetryAfterPolicy.UNKNOWN_LIMITS);
}
