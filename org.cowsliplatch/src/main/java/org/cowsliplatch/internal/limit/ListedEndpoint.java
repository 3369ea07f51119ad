package org.cowsliplatch.internal.limit;

import org.cowsliplatch.platform.Instance;

/**
 * An endpoint as a grantor is told of it.
 *
 * @param endpoint the endpoint
 * @param slots requests that it serves at a time; 0 for as many as the pool says
 * @param leaving whether it was told to leave; holds for its incarnation
 * @param suspended whether it gets nothing for now, since its availability zone is evacuated
 * @param coldUntilNanos when it stops being cold, or {@link Instance#WARM}
 */
public record ListedEndpoint(Endpoint endpoint, int slots, boolean leaving, boolean suspended, long coldUntilNanos) {
    /** Returns an endpoint in its usual state. */
    public static ListedEndpoint active(Endpoint endpoint) {
        return new ListedEndpoint(endpoint, 0, false, false, Instance.WARM);
    }

    /** Returns an endpoint that is leaving. */
    public static ListedEndpoint leaving(Endpoint endpoint) {
        return new ListedEndpoint(endpoint, 0, true, false, Instance.WARM);
    }
}
