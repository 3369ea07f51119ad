package org.cowsliplatch.internal.util;

import java.util.concurrent.TimeUnit;

/** A monotonic clock; its zero is arbitrary. */
@FunctionalInterface
public interface Ticker {
    /** Returns the time in ns since an arbitrary moment. */
    long nanos();

    /** Returns the time in ms since the same arbitrary moment. */
    default long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos());
    }

    /** Returns the clock of this Java runtime. */
    static Ticker system() {
        return System::nanoTime;
    }
}
