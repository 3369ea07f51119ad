package org.cowsliplatch.internal.limit;

/** Why a request got no slot; in each case nothing of it was sent to a backend server. */
public enum Refusal {
    /** No endpoint of the pool is known. */
    NO_ENDPOINT("no backend server of this pool is known"),
    /** Too many requests wait already. */
    QUEUE_FULL("too many requests of this pool wait already"),
    /** The answer would come after the deadline. */
    TOO_LATE("no slot would come free in time"),
    /** The link to the region that has endpoints has no room. */
    LINK_FULL("the link to the region that could serve it is full"),
    /** The caller went away. */
    CANCELLED("the caller cancelled the request");

    private final String text;

    Refusal(String text) {
        this.text = text;
    }

    /** Returns the reason as a sentence part for a person. */
    public String text() {
        return text;
    }
}
