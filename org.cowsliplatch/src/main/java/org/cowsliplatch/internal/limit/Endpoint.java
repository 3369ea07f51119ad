package org.cowsliplatch.internal.limit;

/**
 * A backend server of a service, in one incarnation.
 *
 * @param id id, unique for each incarnation
 * @param address IP number and port
 * @param region region
 * @param zone availability zone
 */
public record Endpoint(String id, String address, String region, String zone) {
    private static final char INCARNATION_SEPARATOR = '~';

    /**
     * Returns the id of one incarnation of an endpoint that may keep its name across restarts.
     *
     * @param name name in the instance list
     * @param bornMs start time in ms
     */
    public static String id(String name, long bornMs) {
        return name + INCARNATION_SEPARATOR + bornMs;
    }

    /** Returns the name of the endpoint without its incarnation. */
    public String name() {
        int separator = id.indexOf(INCARNATION_SEPARATOR);
        return separator < 0 ? id : id.substring(0, separator);
    }
}
