package org.cowsliplatch.internal.proxy;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** Writes errors raised by the HTTP server itself as a {@link Problem}. */
public final class ProblemErrorHandler extends ErrorHandler {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        int status = response.getStatus();
        int errorStatus = status < HttpStatus.BAD_REQUEST_400 ? HttpStatus.INTERNAL_SERVER_ERROR_500 : status;
        problem(errorStatus, reason(request)).write(response, callback);
        return true;
    }

    private static @Nullable String reason(Request request) {
        Object message = request.getAttribute(ERROR_MESSAGE);
        return message == null ? null : message.toString();
    }

    private static Problem problem(int status, @Nullable String reason) {
        Outcome outcome = status < HttpStatus.INTERNAL_SERVER_ERROR_500 ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        String detail =
                switch (status) {
                    case HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431 -> "request header too long; shorten it";
                    case HttpStatus.URI_TOO_LONG_414 -> "request URI too long; shorten it";
                    default -> reason == null ? "malformed request" : "malformed request: " + reason;
                };
        return Problem.of(status, outcome, detail);
    }
}
