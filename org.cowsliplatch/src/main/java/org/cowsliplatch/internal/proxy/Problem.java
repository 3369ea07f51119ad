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
 * An error answer in the form of RFC 9457, with the outcome of the request.
 *
 * @param status HTTP status
 * @param detail what went wrong and what to do, for a person
 * @param outcome what became of the request
 * @param retryAfter time after which trying again makes sense; zero if waiting does not help
 */
public record Problem(int status, String detail, Outcome outcome, Duration retryAfter) {
    private static final Duration USUAL_WAIT = Duration.ofSeconds(1);
    private static final String TYPE = "application/problem+json";

    /** Returns a problem that waiting does not mend. */
    public static Problem of(int status, Outcome outcome, String detail) {
        return new Problem(status, detail, outcome, Duration.ZERO);
    }

    /** Returns a refusal of work that may be tried again. */
    public static Problem busy(Outcome outcome, String detail) {
        return new Problem(HttpStatus.SERVICE_UNAVAILABLE_503, detail, outcome, USUAL_WAIT);
    }

    /** Writes this answer; the response must not be committed. */
    public void write(Response response, Callback callback) {
        response.reset();
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, TYPE);
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
        if (!retryAfter.isZero()) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds(retryAfter));
        }
        response.write(true, ByteBuffer.wrap(json()), callback);
    }

    /** Returns a time in seconds; only times below whole seconds need a fraction. */
    private static String seconds(Duration time) {
        return BigDecimal.valueOf(time.toMillis(), 3).stripTrailingZeros().toPlainString();
    }

    /** Returns the body of this answer. */
    public byte[] json() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("title", HttpStatus.getMessage(status));
        fields.put("status", status);
        fields.put("detail", detail);
        fields.put("outcome", outcome.text());
        return Json.bytes(fields);
    }
}
