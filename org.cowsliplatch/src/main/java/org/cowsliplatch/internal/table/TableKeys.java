package org.cowsliplatch.internal.table;

import java.util.Locale;

/** Keys of the rows and names of the objects in which the tables are stored. */
final class TableKeys {
    static final String HEAD = "tables/head";
    static final String CHANGES = "tables/change/";
    static final String LATEST_SNAPSHOT = "tables/snapshot";

    private TableKeys() {}

    /** Returns the key of the change that created a version; keys sort by version. */
    static String change(long version) {
        return String.format(Locale.ROOT, "%s%012d", CHANGES, version);
    }

    /** Returns the key of the row that holds the version created by an edit. */
    static String edit(String editId) {
        return "tables/edit/" + editId;
    }

    /** Returns the name of the object that holds the tables of a version. */
    static String snapshot(long version) {
        return String.format(Locale.ROOT, "tables/snapshot/%012d", version);
    }
}
