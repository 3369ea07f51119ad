package org.cowsliplatch.internal.proxy;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Route;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Serves callers: answers look-ups and steers requests. */
public final class CallerHandler extends Handler.Abstract.NonBlocking {
    private static final String LOOKUP_PATH = "/v1/entries";
    private static final String NO_TABLES = "no tables are in force yet";

    private final EntryContext context;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile boolean leaving;

    /** Creates a handler. */
    public CallerHandler(EntryContext context) {
        this.context = context;
    }

    /** Asks callers to close their connections from now on. */
    public void leave() {
        leaving = true;
    }

    /** Returns the number of requests that were not yet answered in full. */
    public int inFlight() {
        return inFlight.get();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        inFlight.incrementAndGet();
        Request.addCompletionListener(request, failure -> inFlight.decrementAndGet());
        if (leaving && request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        String path = request.getHttpURI().getPath();
        if (LOOKUP_PATH.equals(path)) {
            lookUp(request, response, callback);
            return true;
        }
        steer(request, path == null ? "/" : path, response, callback);
        return true;
    }

    private void lookUp(Request request, Response response, Callback callback) {
        SteeringView view = context.view().get();
        Fields params = Request.extractQueryParameters(request);
        String name = params.getValue("route");
        if (name == null) {
            Problem.of(HttpStatus.BAD_REQUEST_400, Outcome.NOT_RUN, "add ?route=NAME to the address")
                    .write(response, callback);
            return;
        }
        if (view.tables().number() == 0) {
            Problem.busy(Outcome.NOT_RUN, NO_TABLES).write(response, callback);
            return;
        }
        Route route = view.tables().tables().routes().get(name);
        Pool pool = route == null ? null : view.tables().tables().pools().get(route.pool());
        if (route == null || pool == null) {
            Problem.of(HttpStatus.NOT_FOUND_404, Outcome.NOT_RUN, "there is no route '" + name + "'")
                    .write(response, callback);
            return;
        }
        EntryLookup.Answer answer = context.lookup().answer(route, pool, view);
        context.metrics().lookup();
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "max-age=" + answer.ttlMs() / 1000);
        response.write(true, ByteBuffer.wrap(Json.bytes(answer)), callback);
    }

    private void steer(Request request, String path, Response response, Callback callback) {
        SteeringView view = context.view().get();
        String host = host(request);
        Optional<Route> route = view.matcher().match(host, request.getMethod(), path);
        if (route.isEmpty()) {
            noRoute(view, host, path).write(response, callback);
            return;
        }
        Pool pool = view.tables().tables().pools().get(route.get().pool());
        if (pool == null) {
            throw new IllegalStateException("route " + route.get().name() + " has no pool in its own tables");
        }
        Problem refusal = refusal(request);
        if (refusal != null) {
            refusal.write(response, callback);
            return;
        }
        new Exchange(context, route.get(), pool, request, response, callback).start();
    }

    private @org.jspecify.annotations.Nullable Problem refusal(Request request) {
        long length = request.getLength();
        if (length > context.bodyBytes()) {
            return Problem.of(
                    HttpStatus.PAYLOAD_TOO_LARGE_413,
                    Outcome.NOT_RUN,
                    "the request body is longer than " + context.bodyBytes() + " bytes");
        }
        String timeout = request.getHeaders().get(Headers.TIMEOUT_MS);
        if (timeout != null && !timeout.matches("\\d{1,9}")) {
            return Problem.of(
                    HttpStatus.BAD_REQUEST_400,
                    Outcome.NOT_RUN,
                    Headers.TIMEOUT_MS + " is no number of milliseconds; write a whole number");
        }
        return null;
    }

    private static Problem noRoute(SteeringView view, String host, String path) {
        if (view.tables().number() == 0) {
            return Problem.busy(Outcome.NOT_RUN, NO_TABLES);
        }
        Set<String> methods = view.matcher().methods(host, path);
        if (!methods.isEmpty()) {
            return Problem.of(
                    HttpStatus.METHOD_NOT_ALLOWED_405,
                    Outcome.NOT_RUN,
                    "the route takes " + String.join(", ", methods));
        }
        return Problem.of(
                HttpStatus.NOT_FOUND_404,
                Outcome.NOT_RUN,
                "no route matches host '" + host + "' and path '" + path + "'");
    }

    private static String host(Request request) {
        String host = Request.getServerName(request);
        return host == null ? "" : host.toLowerCase(Locale.ROOT);
    }
}
