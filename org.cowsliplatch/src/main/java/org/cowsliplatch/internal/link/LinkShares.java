package org.cowsliplatch.internal.link;

/** How the cap of a link is divided. */
public final class LinkShares {
    /** Part of the cap that is divided evenly among the most entry instances there may be; needs no agreement. */
    public static final double STATIC_SHARE = 0.15;
    /** Part of the cap that is leased in units. */
    public static final double LEASED_SHARE = 0.80;
    /** Number of units. */
    public static final int UNITS = 120;

    private LinkShares() {}

    /** Returns the rate in bits per second that every entry instance may use without a lease. */
    public static double staticBitsPerSecond(long capBits, int mostEntries) {
        return capBits * STATIC_SHARE / mostEntries;
    }

    /** Returns the rate in bits per second of a number of leased units. */
    public static double leasedBitsPerSecond(long capBits, int units) {
        return capBits * LEASED_SHARE * units / UNITS;
    }
}
