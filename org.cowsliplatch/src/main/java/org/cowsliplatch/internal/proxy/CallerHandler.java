package org.cowsliplatch.internal.proxy;

import java.nio.ByteBuffer;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Route;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Serves callers of the product's own interface: answers look-ups and proxies requests. */
public final class CallerHandler extends Handler.Abstract.NonBlocking {
    private static final String LOOKUP_PATH = "/v1/entries";

    private final EntryContext context;
    private final EntryLookup lookup;
    private final SteeringHandler steering;

    /**
     * Creates a handler.
     *
     * @param context dependencies shared by all requests
     * @param lookup computes look-up answers
     */
    public CallerHandler(EntryContext context, EntryLookup lookup) {
        this.context = context;
        this.lookup = lookup;
        this.steering = new SteeringHandler(context);
    }

    /** Begins a planned stop, or changes its times, see {@link SteeringHandler#leave}. */
    public void leave(ServingWindow window) {
        steering.leave(window);
    }

    /** Returns the number of requests whose response is not complete. */
    public int inFlight() {
        return steering.inFlight();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        steering.begin(request, response);
        if (LOOKUP_PATH.equals(request.getHttpURI().getPath())) {
            lookUp(request, response, callback);
        } else {
            steering.steer(request, response, callback);
        }
        return true;
    }

    private void lookUp(Request request, Response response, Callback callback) {
        SteeringView view = context.view().get();
        Fields params = Request.extractQueryParameters(request);
        String name = params.getValue("route");
        if (name == null) {
            Problem.of(
                            HttpStatus.BAD_REQUEST_400,
                            Outcome.NOT_RUN,
                            "query parameter 'route' is missing; add ?route=NAME to the address")
                    .write(response, callback);
            return;
        }
        if (view.tables().number() == 0) {
            Problem.unavailable(Outcome.NOT_RUN, SteeringHandler.NO_TABLES).write(response, callback);
            return;
        }
        Route route = view.tables().tables().routes().get(name);
        Pool pool = route == null ? null : view.tables().tables().pools().get(route.pool());
        if (route == null || pool == null) {
            Problem.of(HttpStatus.NOT_FOUND_404, Outcome.NOT_RUN, "no route is named '" + name + "'")
                    .write(response, callback);
            return;
        }
        EntryLookup.Answer answer = lookup.answer(route, pool, view);
        context.metrics().lookup();
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "max-age=" + answer.ttlMs() / 1000);
        response.write(true, ByteBuffer.wrap(Json.bytes(answer)), callback);
    }
}
