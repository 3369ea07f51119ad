package org.cowsliplatch.internal.proxy;

import java.util.Set;
import org.cowsliplatch.platform.HttpDialect;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;

/** Decides by status and headers whether a response may be passed to the caller. */
final class ResponseValidator {
    /** Statuses that tell a caller that its request was not executed. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(
            HttpStatus.REQUEST_TIMEOUT_408,
            HttpStatus.MISDIRECTED_REQUEST_421,
            HttpStatus.TOO_MANY_REQUESTS_429,
            HttpStatus.SERVICE_UNAVAILABLE_503);

    private ResponseValidator() {}

    /**
     * Returns why a response must not be passed to the caller, or null if it may be.
     *
     * @param dialect names of the headers
     * @param requestId id of the request, or null if it has none
     * @param status status of the response
     * @param headers headers of the response
     */
    static AttemptFailure.@Nullable Kind validate(
            HttpDialect dialect, @Nullable String requestId, int status, HttpFields headers) {
        if (dialect.identity().isEmpty()) {
            boolean notRun = Headers.isYes(headers, dialect.notRun());
            boolean leaving = Headers.announcesLeaving(dialect, headers);
            AttemptFailure.Kind rejection = leaving ? AttemptFailure.Kind.LEAVING : AttemptFailure.Kind.SHED;
            return notRun ? rejection : null;
        }
        HttpDialect.Identity identity = dialect.identity().get();
        String responseRequestId = headers.get(identity.request());
        if (responseRequestId != null && !responseRequestId.equals(requestId)) {
            return AttemptFailure.Kind.FOREIGN_ANSWER;
        }
        if (status == HttpStatus.MISDIRECTED_REQUEST_421) {
            return AttemptFailure.Kind.WRONG_ENDPOINT;
        }
        if (headers.contains(dialect.notRun())) {
            return AttemptFailure.Kind.SHED;
        }
        boolean isGenuine = responseRequestId != null
                && (!HttpStatus.isSuccess(status) || headers.contains(identity.signature()))
                && !headers.contains(HttpHeader.CONTENT_ENCODING);
        if (!isGenuine) {
            return AttemptFailure.Kind.FOREIGN_ANSWER;
        }
        return NOT_RUN_STATUSES.contains(status) ? AttemptFailure.Kind.BROKEN_PROMISE : null;
    }
}
