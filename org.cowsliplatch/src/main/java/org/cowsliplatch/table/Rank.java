package org.cowsliplatch.table;

import java.util.Locale;
import java.util.Optional;

/** Priority of a route's requests; ranks with a lower ordinal are served first. */
public enum Rank {
    /** Bookings and reservations. */
    URGENT(0.0),
    /** Idempotent queries for which a person is waiting. */
    LOOKUP(0.20),
    /** Transfers that can be delayed. */
    UPLOAD(0.05);

    private static final Rank[] ALL = values();

    private final double floorShare;

    Rank(double floorShare) {
        this.floorShare = floorShare;
    }

    /** Returns the minimum share of a pool's slots, 0 to 1, that this rank keeps against more urgent ranks. */
    public double floorShare() {
        return floorShare;
    }

    /** Returns whether this rank is more urgent than another. */
    public boolean before(Rank other) {
        return ordinal() < other.ordinal();
    }

    /** Returns the name in tables and messages: that of the constant in lower case. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the rank with a name as in {@link #text}, or empty if there is none. */
    public static Optional<Rank> of(String text) {
        for (Rank rank : ALL) {
            if (rank.text().equals(text)) {
                return Optional.of(rank);
            }
        }
        return Optional.empty();
    }

    /** Returns the rank with this ordinal. */
    public static Rank at(int ordinal) {
        return ALL[ordinal];
    }

    /** Returns the number of ranks. */
    public static int count() {
        return ALL.length;
    }
}
