package org.cowsliplatch.internal.limit;

/** How the use of a slot ended, and what that implies for the health of its endpoint. */
public enum SlotOutcome {
    /** A complete response arrived. */
    ANSWERED(true, false, false),
    /** The endpoint shed the request because of overload. */
    SHED(false, false, false),
    /** The endpoint responded with a server error. */
    FAILED(false, true, false),
    /** The endpoint's host refused the connection: no process listens there, for any client. */
    REFUSED(false, true, false),
    /** No connection was established in time; the cause may also be the network in between. */
    UNREACHABLE(false, true, false),
    /** The connection broke before the response was complete. */
    CUT(false, true, false),
    /** No response arrived in time on a connection known to work; the endpoint may still be processing the request. */
    TIMED_OUT(false, true, true),
    /** No response arrived on a connection that may be dead; earlier versions, which reuse connections, report it. */
    SILENT_CONNECTION(false, false, true),
    /** The request was cancelled while the endpoint processed it. */
    CANCELLED(false, false, true),
    /** The endpoint announced that it is leaving. */
    LEAVING(false, false, false),
    /** The slot was not used. */
    UNUSED(false, false, false);

    private final boolean success;
    private final boolean failure;
    private final boolean mayStillRun;

    SlotOutcome(boolean success, boolean failure, boolean mayStillRun) {
        this.success = success;
        this.failure = failure;
        this.mayStillRun = mayStillRun;
    }

    /** Returns whether this shows that the endpoint works. */
    public boolean isSuccess() {
        return success;
    }

    /** Returns whether this counts as a failure of the endpoint. */
    public boolean isFailure() {
        return failure;
    }

    /** Returns whether the endpoint may still be processing the request. */
    public boolean mayStillRun() {
        return mayStillRun;
    }
}
