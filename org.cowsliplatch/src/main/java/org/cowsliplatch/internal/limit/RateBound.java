package org.cowsliplatch.internal.limit;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * The rate at which a group of endpoints takes requests while some of them limit it.
 *
 * @param perSecond requests per second that the endpoints of the group take together
 * @param limitedEndpoints number of endpoints that have named a limit or are cold
 * @param ageNanos time in ns since the limit heard of longest ago was last named
 * @param share share of the limits that the grantor may use, from 0 to 1
 * @param roomInNanos time in ns after which the group has room for the refused request
 */
public record RateBound(double perSecond, int limitedEndpoints, long ageNanos, double share, long roomInNanos) {
    /** Returns the bound as a human-readable clause. */
    public String text() {
        return String.format(
                Locale.ROOT,
                "%d backend servers, in need or cold, limit this pool to %.1f requests/s; share %.2f, named %d ms ago, room in %d ms",
                limitedEndpoints,
                perSecond,
                share,
                TimeUnit.NANOSECONDS.toMillis(ageNanos),
                TimeUnit.NANOSECONDS.toMillis(roomInNanos));
    }
}
