package org.cowsliplatch.internal.limit;

import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.internal.util.TokenBucket;
import org.jspecify.annotations.Nullable;

/**
 * Paces the requests to one endpoint at the rate limit that it has named, and at the rate that it tolerates while it is
 * cold; guarded by the lock of the grantor.
 *
 * <p>A pacer starts without tokens, since an earlier grantor may have just spent those of the limit.
 */
final class RatePacer {
    /** Requests that may be sent at once after a pause, in seconds of the limit. */
    private static final double BURST_S = 0.25;
    /** Minimum rate in requests per second, so that an endpoint whose limit is zero can tell that it has ended. */
    private static final double PROBES_PER_SECOND = 0.2;
    /** Allows for rounding in the refill of the bucket. */
    private static final double ONE_TOKEN = 1 - 1e-6;

    private final String endpointId;
    private final EndpointLimits limits;
    private final Ticker ticker;
    private @Nullable TokenBucket bucket;
    private double perSecond;
    private boolean isNamed;

    RatePacer(String endpointId, EndpointLimits limits, Ticker ticker) {
        this.endpointId = endpointId;
        this.limits = limits;
        this.ticker = ticker;
    }

    /**
     * Applies the present limits.
     *
     * @param share share of the limits that may be used here, from 0 to 1
     * @param coldPerSecond rate limit in requests per second while the endpoint is cold, infinite if it is not
     */
    void refresh(double share, double coldPerSecond) {
        EndpointLimits.Limit named = limits.of(endpointId);
        isNamed = named != null;
        double limit = Math.min(coldPerSecond, named == null ? Double.POSITIVE_INFINITY : named.perSecond());
        if (limit == Double.POSITIVE_INFINITY) {
            bucket = null;
            return;
        }
        double rate = Math.max(limit, PROBES_PER_SECOND) * share;
        double burst = Math.max(1, rate * BURST_S);
        TokenBucket current = bucket;
        if (current == null) {
            bucket = new TokenBucket(ticker, rate, burst);
            bucket.take(burst);
        } else if (rate != perSecond) {
            current.resize(rate, burst);
        }
        perSecond = rate;
    }

    boolean isLimited() {
        return bucket != null;
    }

    /** Returns whether the endpoint has named a limit, which outlasts its cold start. */
    boolean isNamed() {
        return isNamed;
    }

    /** Returns whether the limit allows no request now. */
    boolean isUsedUp() {
        TokenBucket current = bucket;
        return current != null && current.available() < ONE_TOKEN;
    }

    /** Counts one request. */
    void spend() {
        TokenBucket current = bucket;
        if (current != null) {
            current.take(1);
        }
    }

    /** Returns the rate in requests per second, infinite if there is no limit. */
    double perSecond() {
        return bucket == null ? Double.POSITIVE_INFINITY : perSecond;
    }

    /** Returns the time in ns of the latest response that named the limit, or the present time if there is none. */
    long namedNanos() {
        EndpointLimits.Limit limit = limits.of(endpointId);
        return limit == null ? ticker.nanos() : limit.namedNanos();
    }
}
