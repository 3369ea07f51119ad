package org.cowsliplatch.internal.table;

/**
 * The row that names the newest accepted version.
 *
 * @param version number of the version
 * @param editId id of the edit that created it
 * @param digest digest of its tables
 */
public record TableHead(long version, String editId, String digest) {
    /** Head of an empty store. */
    public static final TableHead NONE = new TableHead(0, "", "");
}
