package org.cowsliplatch.platform;

import java.util.Optional;

/**
 * Names of the headers by which callers, entry instances and backend servers understand each other.
 *
 * @param timeLeft header of requests: whole milliseconds for which the sender still waits
 * @param notRun header of answers: the backend server did not run the request, whatever the status says
 * @param leaving header of answers: the backend server is leaving; empty if none says so
 * @param identity headers by which an answer is known to belong to its request; empty if there are none
 * @param objectCookie cookie of requests that names the object they are about; empty if there is none
 */
public record HttpDialect(
        String timeLeft,
        String notRun,
        Optional<String> leaving,
        Optional<Identity> identity,
        Optional<String> objectCookie) {
    /**
     * Headers by which an answer is known to be genuine.
     *
     * @param request header of requests that the answer repeats: id of the attempt of the caller
     * @param endpoint header of requests: id of the one endpoint that may run them; others answer 421
     * @param signature header that every successful answer of an endpoint bears
     */
    public record Identity(String request, String endpoint, String signature) {}
}
