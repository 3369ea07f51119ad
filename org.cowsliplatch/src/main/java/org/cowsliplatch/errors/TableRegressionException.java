package org.cowsliplatch.errors;

/** A source offered tables that would take back an accepted version; they were refused. */
public final class TableRegressionException extends TableException {
    /**
     * Creates an exception.
     *
     * @param source who offered the tables
     * @param offered the version offered
     * @param inForce the version in force
     * @param why what is wrong with the offer
     */
    public TableRegressionException(String source, long offered, long inForce, String why) {
        super(source + " offered version " + offered + " while " + inForce + " is in force: " + why, null);
    }
}
