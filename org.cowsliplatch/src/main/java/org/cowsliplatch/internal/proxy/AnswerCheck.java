package org.cowsliplatch.internal.proxy;

import java.util.Set;
import org.cowsliplatch.platform.HttpDialect;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;

/** Tells by its head whether an answer may go to the caller. */
final class AnswerCheck {
    /** Statuses that promise a caller that its request did not run. */
    private static final Set<Integer> PROMISES = Set.of(
            HttpStatus.REQUEST_TIMEOUT_408,
            HttpStatus.MISDIRECTED_REQUEST_421,
            HttpStatus.TOO_MANY_REQUESTS_429,
            HttpStatus.SERVICE_UNAVAILABLE_503);

    private AnswerCheck() {}

    /**
     * Returns what is wrong with an answer, or null if it may go to the caller.
     *
     * @param dialect names of the headers
     * @param requestId id of the request, or null if it has none
     * @param status status of the answer
     * @param headers headers of the answer
     */
    static AttemptResult.@Nullable Kind fault(
            HttpDialect dialect, @Nullable String requestId, int status, HttpFields headers) {
        boolean leaving =
                dialect.leaving().map(name -> Headers.isYes(headers, name)).orElse(false);
        if (dialect.identity().isEmpty()) {
            boolean notRun = Headers.isYes(headers, dialect.notRun());
            AttemptResult.Kind refused = leaving ? AttemptResult.Kind.LEAVING : AttemptResult.Kind.SHED;
            return notRun ? refused : null;
        }
        HttpDialect.Identity identity = dialect.identity().get();
        String answered = headers.get(identity.request());
        if (answered != null && !answered.equals(requestId)) {
            return AttemptResult.Kind.FOREIGN_ANSWER;
        }
        if (status == HttpStatus.MISDIRECTED_REQUEST_421) {
            return AttemptResult.Kind.WRONG_ENDPOINT;
        }
        if (headers.contains(dialect.notRun())) {
            return AttemptResult.Kind.SHED;
        }
        boolean genuine = answered != null
                && (!HttpStatus.isSuccess(status) || headers.contains(identity.signature()))
                && !headers.contains(HttpHeader.CONTENT_ENCODING);
        if (!genuine) {
            return AttemptResult.Kind.FOREIGN_ANSWER;
        }
        return PROMISES.contains(status) ? AttemptResult.Kind.BROKEN_PROMISE : null;
    }
}
