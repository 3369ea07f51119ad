package org.cowsliplatch.internal.limit;

import org.cowsliplatch.platform.Instance;

/**
 * An endpoint and its state in the instance list.
 *
 * @param endpoint the endpoint
 * @param slots concurrency limit of the endpoint; 0 for that of the pool
 * @param leaving whether it is leaving; final for its incarnation
 * @param suspended whether it gets no requests for now because its availability zone is evacuated
 * @param coldUntilNanos time in ns at which its warm-up ends, or {@link Instance#WARM}
 */
public record ListedEndpoint(Endpoint endpoint, int slots, boolean leaving, boolean suspended, long coldUntilNanos) {
    /** Returns an endpoint that is in rotation, warm, and has the slots of its pool. */
    public static ListedEndpoint active(Endpoint endpoint) {
        return new ListedEndpoint(endpoint, 0, false, false, Instance.WARM);
    }

    /** Returns an endpoint that is leaving. */
    public static ListedEndpoint leaving(Endpoint endpoint) {
        return new ListedEndpoint(endpoint, 0, true, false, Instance.WARM);
    }
}
