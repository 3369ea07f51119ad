package org.cowsliplatch.internal.limit;

/** Why a request was refused a slot; no part of it was sent to a backend server. */
public enum Refusal {
    /** No endpoint of the pool is known. */
    NO_ENDPOINT("no backend server of this pool is known"),
    /** The queue of the pool is full. */
    QUEUE_FULL("too many requests of this pool wait already"),
    /** The response would come after the deadline. */
    TOO_LATE("no slot would come free in time"),
    /** The link to the region that has endpoints has no bandwidth left. */
    LINK_FULL("the link to the region that could serve it is full"),
    /** The caller cancelled the request or disconnected. */
    CANCELLED("the caller cancelled the request"),
    /** The rate limits that the endpoints have named leave no room by the deadline. */
    RATE_LIMITED("the backend servers limit their requests per second");

    private final String text;

    Refusal(String text) {
        this.text = text;
    }

    /** Returns the reason as a human-readable clause. */
    public String text() {
        return text;
    }
}
