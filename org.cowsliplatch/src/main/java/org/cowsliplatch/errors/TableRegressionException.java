package org.cowsliplatch.errors;

/** A source offered tables that conflict with the version in force; they were rejected. */
public final class TableRegressionException extends TableException {
    /**
     * Creates an exception.
     *
     * @param source sender of the tables
     * @param offered version offered
     * @param inForce version in force
     * @param reason why the tables were rejected
     */
    public TableRegressionException(String source, long offered, long inForce, String reason) {
        super(source + " offered version " + offered + " while " + inForce + " is in force: " + reason, null);
    }
}
