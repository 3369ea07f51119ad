package org.cowsliplatch.internal.proxy;

import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cowsliplatch.internal.util.Json;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * An error response as a problem document (RFC 9457) that includes the outcome of the request.
 *
 * @param status HTTP status
 * @param detail human-readable cause and remedy
 * @param outcome whether the request was executed
 * @param retryAfter value of the header {@code Retry-After}; zero if waiting does not help, which omits the header
 */
public record Problem(int status, String detail, Outcome outcome, Duration retryAfter) {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final String MEDIA_TYPE = "application/problem+json";

    /** Returns a problem without {@code Retry-After}. */
    public static Problem of(int status, Outcome outcome, String detail) {
        return new Problem(status, detail, outcome, Duration.ZERO);
    }

    /** Returns a problem with status 503 and {@code Retry-After}. */
    public static Problem unavailable(Outcome outcome, String detail) {
        return new Problem(HttpStatus.SERVICE_UNAVAILABLE_503, detail, outcome, DEFAULT_RETRY_AFTER);
    }

    /** Writes this problem; the response must not be committed. */
    public void write(Response response, Callback callback) {
        Headers.reset(response);
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, MEDIA_TYPE);
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
        if (!retryAfter.isZero()) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds(retryAfter));
        }
        response.write(true, ByteBuffer.wrap(json()), callback);
    }

    /** Formats a time in seconds, with a fraction only if it is not a whole number. */
    private static String seconds(Duration time) {
        return BigDecimal.valueOf(time.toMillis(), 3).stripTrailingZeros().toPlainString();
    }

    /** Returns the response body. */
    public byte[] json() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("title", HttpStatus.getMessage(status));
        fields.put("status", status);
        fields.put("detail", detail);
        fields.put("outcome", outcome.text());
        return Json.bytes(fields);
    }
}
