package org.cowsliplatch.benchmarks;

/**
 * Requests offered to a pool, as shares of what its slots can do.
 *
 * @param urgent bookings
 * @param lookup look-ups
 * @param upload uploads
 */
public record Load(double urgent, double lookup, double upload) {
    /** Returns the usual mix: three tenths urgent, half look-ups, the rest uploads. */
    public static Load mixed(double total) {
        return new Load(0.3 * total, 0.5 * total, 0.2 * total);
    }

    double total() {
        return urgent + lookup + upload;
    }
}
