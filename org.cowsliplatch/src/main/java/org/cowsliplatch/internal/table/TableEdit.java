package org.cowsliplatch.internal.table;

import java.util.regex.Pattern;
import org.cowsliplatch.table.Tables;

/**
 * What an operator wants to become the next version.
 *
 * @param editId unique id chosen by the operator's tool; asking again with it is harmless
 * @param author who makes the edit
 * @param base version the edit was made on
 * @param tables tables after the edit
 */
public record TableEdit(String editId, String author, long base, Tables tables) {
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9_-]{8,64}");

    /** Refuses ids that can't be part of a key. */
    public TableEdit {
        if (!ID.matcher(editId).matches()) {
            throw new IllegalArgumentException(
                    "edit id '" + editId + "' must be 8 to 64 letters, digits, hyphens or underscores");
        }
    }
}
