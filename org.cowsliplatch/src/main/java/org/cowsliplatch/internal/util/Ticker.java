package org.cowsliplatch.internal.util;

import java.util.concurrent.TimeUnit;

/** A monotonic clock with an arbitrary origin. */
@FunctionalInterface
public interface Ticker {
    /** Returns the time in ns since an arbitrary origin. */
    long nanos();

    /** Returns the time in ms since the same origin. */
    default long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos());
    }

    /** Returns the system's monotonic clock. */
    static Ticker system() {
        return System::nanoTime;
    }
}
