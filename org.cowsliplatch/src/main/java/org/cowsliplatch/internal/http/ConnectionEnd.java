package org.cowsliplatch.internal.http;

/** How a backend server ended a connection, as far as it was read. */
public enum ConnectionEnd {
    /** The server has not ended it; if it is closed, this instance closed it. */
    NONE("none"),
    /** The server closed it in order (FIN). */
    CLOSED("closed"),
    /** The server reset it, or the network failed. */
    RESET("reset");

    private final String text;

    ConnectionEnd(String text) {
        this.text = text;
    }

    /** Returns the name for logs. */
    public String text() {
        return text;
    }
}
