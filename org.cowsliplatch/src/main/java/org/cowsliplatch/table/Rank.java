package org.cowsliplatch.table;

import java.util.Locale;
import java.util.Optional;

/** Urgency of a route's requests; a lower ordinal is served first. */
public enum Rank {
    /** Bookings and reservations. */
    URGENT(0.0),
    /** Idempotent queries that a person waits for. */
    LOOKUP(0.20),
    /** Transfers that can wait. */
    UPLOAD(0.05);

    private static final Rank[] ALL = values();

    private final double floorShare;

    Rank(double floorShare) {
        this.floorShare = floorShare;
    }

    /** Returns the share of a pool's slots, 0 to 1, that more urgent ranks can't take from this one. */
    public double floorShare() {
        return floorShare;
    }

    /** Returns whether this rank goes before another. */
    public boolean before(Rank other) {
        return ordinal() < other.ordinal();
    }

    /** Returns the name used in tables and messages. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the rank with this name, or empty. */
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
