package org.cowsliplatch.internal.follow;

import org.cowsliplatch.platform.RowStore;

/**
 * A position in the history of the store.
 *
 * <p>Versions order the positions of one era. They go back when the store is restored from a copy, which begins the next
 * era.
 *
 * @param era life of the store, or {@link RowStore#UNKNOWN_ERA}
 * @param version version of the store in that era, or -1 before the first read
 */
record StorePosition(long era, long version) {
    /** Position before the first read. */
    static final StorePosition NONE = new StorePosition(RowStore.UNKNOWN_ERA, -1);

    /** Returns an era as this position knows it: an unknown one is taken for the present one. */
    long resolve(long answerEra) {
        return answerEra == RowStore.UNKNOWN_ERA ? era : answerEra;
    }

    /** Returns the position of an answer, which may be of an unknown era. */
    StorePosition of(long answerEra, long answerVersion) {
        return new StorePosition(resolve(answerEra), answerVersion);
    }

    /** Returns whether an answer is of a later life of the store than this position. */
    boolean isRestoredIn(long answerEra) {
        return era != RowStore.UNKNOWN_ERA && resolve(answerEra) > era;
    }

    boolean isBefore(StorePosition other) {
        return era == other.era ? version < other.version : era < other.era;
    }

    @Override
    public String toString() {
        return "version " + version + " of era " + era;
    }
}
