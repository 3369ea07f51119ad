package org.cowsliplatch.internal.http;

import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** How a backend server delimits the body of a response (RFC 9112, section 6.3). */
public enum BodyFraming {
    /** There is no body, by the method or the status. */
    NONE("none"),
    LENGTH("length"),
    CHUNKS("chunks"),
    CONNECTION_END("connection-end");

    private final String text;

    BodyFraming(String text) {
        this.text = text;
    }

    /** Returns the framing of a response whose head was read. */
    public static BodyFraming of(Response response) {
        int status = response.getStatus();
        boolean isHead = HttpMethod.HEAD.is(response.getRequest().getMethod());
        if (isHead || status == HttpStatus.NO_CONTENT_204 || status == HttpStatus.NOT_MODIFIED_304) {
            return NONE;
        }
        if (response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)) {
            return CHUNKS;
        }
        return response.getHeaders().contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CONNECTION_END;
    }

    /** Returns the name for logs. */
    public String text() {
        return text;
    }
}
