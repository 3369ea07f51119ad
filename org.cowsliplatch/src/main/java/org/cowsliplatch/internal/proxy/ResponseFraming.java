package org.cowsliplatch.internal.proxy;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/**
 * How a caller tells the end of a response body, so that a response that is cut off never looks complete.
 *
 * <p>Left to itself, the HTTP server ends a body of unknown length with the connection if the connection is not to be kept,
 * and closes it in an orderly way also if the response fails.
 */
enum ResponseFraming {
    /** The length is known, or the protocol has frames of its own. */
    EXPLICIT("explicit"),
    /** The last chunk ends the body, also if the connection is closed afterwards. */
    CHUNKED("chunks") {
        @Override
        void begin(Request request, Response response) {
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
        }
    },
    /** The end of the connection ends the body: an orderly one if it is complete, and a reset otherwise. */
    END_OF_CONNECTION("connection-end") {
        @Override
        void begin(Request request, Response response) {
            setResetOnClose(request, true);
        }

        @Override
        void end(Request request) {
            setResetOnClose(request, false);
        }
    };

    private final String text;

    ResponseFraming(String text) {
        this.text = text;
    }

    /** Returns the name for logs. */
    String text() {
        return text;
    }

    /** Returns the framing of a response whose headers are set. */
    static ResponseFraming of(Request request, Response response) {
        HttpVersion version = request.getConnectionMetaData().getHttpVersion();
        if (response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
                || version.getVersion() > HttpVersion.HTTP_1_1.getVersion()) {
            return EXPLICIT;
        }
        return version == HttpVersion.HTTP_1_1 ? CHUNKED : END_OF_CONNECTION;
    }

    /** Prepares a response that is not committed. */
    void begin(Request request, Response response) {}

    /** Records that the whole body was written, or that another response takes its place. */
    void end(Request request) {}

    private static void setResetOnClose(Request request, boolean reset) {
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof MonitoredEndPoint endPoint) {
            endPoint.setResetOnClose(reset);
        }
    }
}
