package org.cowsliplatch.internal.link;

/** Division of the cap of a link into a static and a leased share. */
public final class LinkShares {
    /** Fraction of the cap that is divided evenly among the maximum number of entry instances, without coordination. */
    public static final double STATIC_SHARE = 0.15;
    /** Fraction of the cap that is leased in units. */
    public static final double LEASED_SHARE = 0.80;
    /** Number of units into which the leased fraction is divided. */
    public static final int UNITS = 120;

    private LinkShares() {}

    /** Returns the rate in bits per second that each entry instance may use without a lease. */
    public static double staticBitsPerSecond(long capBits, int maxEntries) {
        return capBits * STATIC_SHARE / maxEntries;
    }

    /** Returns the rate in bits per second of a number of leased units. */
    public static double leasedBitsPerSecond(long capBits, int units) {
        return capBits * LEASED_SHARE * units / UNITS;
    }
}
