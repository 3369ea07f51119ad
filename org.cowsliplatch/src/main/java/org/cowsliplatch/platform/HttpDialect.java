package org.cowsliplatch.platform;

import java.util.Optional;

/**
 * Names of the HTTP headers and cookies used between callers, entry instances and backend servers.
 *
 * @param timeLeft request header: remaining time limit of the sender in whole ms
 * @param notRun response header: the backend server did not run the request, whatever the status
 * @param leaving response header and the value with which the backend server announces that it is leaving; empty if there
 *     is no such header
 * @param identity headers that tie a response to its request; empty if there are none
 * @param objectCookie request cookie that names the object of the request; empty if there is none
 * @param serverLimit response header: requests per second that the backend server takes from all entry instances
 *     together; empty if there is no such header
 */
public record HttpDialect(
        String timeLeft,
        String notRun,
        Optional<Announcement> leaving,
        Optional<Identity> identity,
        Optional<String> objectCookie,
        Optional<String> serverLimit) {
    /**
     * A header that announces something by one of its values; other values say nothing.
     *
     * @param header name of the header
     * @param value value that makes the announcement
     */
    public record Announcement(String header, String value) {}

    /**
     * Headers that tie a response to its request and to the endpoint that ran it.
     *
     * @param request request header that the response echoes: id of the caller's attempt
     * @param endpoint request header: id of the only endpoint that may run the request; others respond with status 421
     * @param signature response header present in every successful response of an endpoint
     */
    public record Identity(String request, String endpoint, String signature) {}
}
