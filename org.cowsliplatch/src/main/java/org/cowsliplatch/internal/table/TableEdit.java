package org.cowsliplatch.internal.table;

import java.util.regex.Pattern;
import org.cowsliplatch.table.Tables;

/**
 * An edit that an operator submits to become the next version.
 *
 * @param editId unique id chosen by the operator's tool, 8 to 64 characters; submitting the edit again with it has no effect
 * @param author author of the edit
 * @param base version that the edit is based on
 * @param tables tables after the edit
 */
public record TableEdit(String editId, String author, long base, Tables tables) {
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9_-]{8,64}");

    /** Rejects ids that can't be part of a row key. */
    public TableEdit {
        if (!ID.matcher(editId).matches()) {
            throw new IllegalArgumentException(
                    "edit id '" + editId + "' must be 8 to 64 letters, digits, hyphens or underscores");
        }
    }
}
