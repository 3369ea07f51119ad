package org.cowsliplatch.internal.proxy;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowsliplatch.internal.steer.PoolSelector;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.internal.telemetry.DecisionLog;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Route;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** Matches each request to a route and proxies it to an endpoint of the pool that the route selects. */
public final class SteeringHandler extends Handler.Abstract.NonBlocking {
    static final String NO_TABLES = "no routing tables are in force on this entry instance yet";

    private final EntryContext context;
    private final PoolSelector splits = new PoolSelector();
    private final AtomicInteger inFlight = new AtomicInteger();
    /** When new requests are still served during a planned stop; null if none has begun. */
    private volatile @Nullable ServingWindow stop;

    public SteeringHandler(EntryContext context) {
        this.context = context;
    }

    /**
     * Begins a planned stop, or changes its times: new requests outside the window are refused, and responses ask HTTP/1.1
     * callers to close their connections. Requests in flight continue.
     */
    public void leave(ServingWindow window) {
        stop = window;
    }

    /** Returns the number of requests whose response is not complete. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Counts a request as in flight until its response is complete; sets {@code Connection: close} during a planned stop. */
    void begin(Request request, Response response) {
        inFlight.incrementAndGet();
        Request.addCompletionListener(request, failure -> inFlight.decrementAndGet());
        boolean http1 = request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1;
        if (stop != null && http1) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        begin(request, response);
        steer(request, response, callback);
        return true;
    }

    /** Proxies a request that was counted by {@link #begin}. */
    void steer(Request request, Response response, Callback callback) {
        String rawPath = request.getHttpURI().getPath();
        String path = rawPath == null ? "/" : rawPath;
        SteeringView view = context.view().get();
        String host = host(request);
        Optional<Route> route = view.matcher().match(host, request.getMethod(), path);
        if (route.isEmpty()) {
            Problem problem = noRoute(view, host, path);
            context.decisionLog()
                    .line("no-route")
                    .with("host", host)
                    .with("path", path)
                    .with("version", view.tables().number())
                    .with(
                            "tables",
                            context.tablesOrigin().apply(view.tables().number()).fields())
                    .with("status", problem.status())
                    .write(DecisionLog.Weight.NOTABLE);
            problem.write(response, callback);
            return;
        }
        Pool pool = view.tables().tables().pools().get(splits.next(route.get()));
        if (pool == null) {
            throw new IllegalStateException("route " + route.get().name()
                    + " refers to a pool that is missing from the same version of the tables");
        }
        Problem rejection = validate(request, view.tables().number());
        if (rejection != null) {
            rejection.write(response, callback);
            return;
        }
        new Exchange(context, view.tables().number(), route.get(), pool, request, response, callback).start(stop);
    }

    private @Nullable Problem validate(Request request, long tablesNumber) {
        long length = request.getLength();
        long maxBodyBytes = context.maxBodyBytes().applyAsLong(tablesNumber);
        if (length > maxBodyBytes) {
            return Problem.of(
                    HttpStatus.PAYLOAD_TOO_LARGE_413,
                    Outcome.NOT_RUN,
                    "request body too long: at most " + maxBodyBytes + " bytes are accepted");
        }
        String name = context.dialect().timeLeft();
        String timeout = request.getHeaders().get(name);
        if (timeout != null && !timeout.matches("\\d{1,9}")) {
            return Problem.of(
                    HttpStatus.BAD_REQUEST_400,
                    Outcome.NOT_RUN,
                    name + " must be a whole number of milliseconds with 1 to 9 digits");
        }
        return null;
    }

    private static Problem noRoute(SteeringView view, String host, String path) {
        if (view.tables().number() == 0) {
            return Problem.unavailable(Outcome.NOT_RUN, NO_TABLES);
        }
        Set<String> methods = view.matcher().methods(host, path);
        if (!methods.isEmpty()) {
            return Problem.of(
                    HttpStatus.METHOD_NOT_ALLOWED_405,
                    Outcome.NOT_RUN,
                    "method not allowed; the route accepts " + String.join(", ", methods));
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
