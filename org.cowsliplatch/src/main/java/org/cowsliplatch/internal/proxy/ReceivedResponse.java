package org.cowsliplatch.internal.proxy;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cowsliplatch.internal.http.BodyFraming;
import org.cowsliplatch.internal.http.ConnectionEnd;

/**
 * What was read of a backend server's response.
 *
 * @param status status of the response
 * @param framing how the server delimits the body
 * @param headBytes length of the head in bytes, 0 if its end was not read
 * @param bodyBytes length of the body so far, in bytes, without chunk headers
 * @param connectionBytes all bytes read from the connection; more than head and body if chunk headers or bytes after the
 *     end of the response were read as well
 * @param end how the server ended the connection
 */
record ReceivedResponse(
        int status, BodyFraming framing, long headBytes, long bodyBytes, long connectionBytes, ConnectionEnd end) {
    ReceivedResponse {
        if (headBytes < 0 || bodyBytes < 0 || connectionBytes < 0) {
            throw new IllegalArgumentException("negative number of bytes");
        }
    }

    /** Returns the fields for logs. */
    Map<String, Object> fields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("status", status);
        fields.put("framing", framing.text());
        fields.put("headBytes", headBytes);
        fields.put("bodyBytes", bodyBytes);
        fields.put("connectionBytes", connectionBytes);
        fields.put("serverEnd", end.text());
        return fields;
    }
}
