package org.cowsliplatch.internal.proxy;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cowsliplatch.platform.HttpDialect;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;

/** Names of HTTP headers, and the filter for hop-by-hop headers. */
public final class Headers {
    /** Idempotency key of a non-idempotent request. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** Remaining time in ms within which the sender accepts a response; sent by callers and to backend servers. */
    public static final String TIMEOUT_MS = "Cowsliplatch-Timeout-Ms";
    /** Name of the entry instance that forwarded a request to the owner of its idempotency key. */
    public static final String FORWARDED_BY = "Cowsliplatch-Forwarded-By";
    /** Set to {@code yes} by a backend server that rejected a request without executing it. */
    public static final String NOT_RUN = "Cowsliplatch-Not-Run";
    /** Set to {@code yes} by a backend server that is leaving. */
    public static final String LEAVING = "Cowsliplatch-Leaving";
    /** Set to {@code yes} on a response that was recorded for an earlier copy of the request. */
    public static final String REPLAYED = "Idempotency-Replayed";

    private static final String YES = "yes";

    /** Dialect of the product's own interface, between callers, entry instances and backend servers. */
    public static final HttpDialect DEFAULT_DIALECT = new HttpDialect(
            TIMEOUT_MS,
            NOT_RUN,
            Optional.of(new HttpDialect.Announcement(LEAVING, YES)),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "http2-settings");

    private Headers() {}

    /** Returns the headers without hop-by-hop headers and those named by {@code Connection}. */
    public static HttpFields endToEnd(HttpFields headers) {
        Set<String> dropped = new TreeSet<>(HOP_BY_HOP);
        for (String name : headers.getCSV(HttpHeader.CONNECTION, false)) {
            dropped.add(name.toLowerCase(Locale.ROOT));
        }
        HttpFields.Mutable endToEnd = HttpFields.build();
        for (HttpField field : headers) {
            if (!dropped.contains(field.getLowerCaseName())) {
                endToEnd.add(field);
            }
        }
        return endToEnd;
    }

    /** Discards what was prepared of a response, except for its {@code Connection} header, which holds for any response. */
    static void reset(Response response) {
        HttpField connection = response.getHeaders().getField(HttpHeader.CONNECTION);
        response.reset();
        if (connection != null) {
            response.getHeaders().put(connection);
        }
    }

    /** Returns whether a header is set to {@code yes}. */
    public static boolean isYes(HttpFields headers, String name) {
        return YES.equals(headers.get(name));
    }

    /** Returns whether any value of a response's headers announces that its backend server is leaving. */
    static boolean announcesLeaving(HttpDialect dialect, HttpFields headers) {
        return dialect.leaving()
                .map(leaving -> headers.getCSV(leaving.header(), false).contains(leaving.value()))
                .orElse(false);
    }
}
