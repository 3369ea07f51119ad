package org.cowsliplatch.internal.entry;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cowsliplatch.internal.steer.EntryAddressSelector;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.platform.PlatformFormat;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the platform's readiness check and callers' look-ups of entry instances. */
final class PlatformHandler extends Handler.Abstract.NonBlocking {
    private final PlatformFormat format;
    private final BooleanSupplier ready;
    private final EntryAddressSelector addressSelector;
    private final Supplier<SteeringView> view;
    private final Duration ttl;
    private final Runnable onLookup;

    PlatformHandler(
            PlatformFormat format,
            BooleanSupplier ready,
            EntryAddressSelector addressSelector,
            Supplier<SteeringView> view,
            Duration ttl,
            Runnable onLookup) {
        this.format = format;
        this.ready = ready;
        this.addressSelector = addressSelector;
        this.view = view;
        this.ttl = ttl;
        this.onLookup = onLookup;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = String.valueOf(request.getHttpURI().getPath());
        if (path.equals(format.readyPath())) {
            sendStatus(
                    ready.getAsBoolean() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503, response, callback);
        } else if (path.equals(format.directoryPath())) {
            lookUp(request, response, callback);
        } else {
            sendStatus(HttpStatus.NOT_FOUND_404, response, callback);
        }
        return true;
    }

    private void lookUp(Request request, Response response, Callback callback) {
        PlatformFormat.DirectoryQuery query = format.directoryQuery(Request.extractQueryParameters(request));
        List<String> addresses = addressSelector.addresses(view.get(), query.host(), query.region());
        onLookup.run();
        if (addresses.isEmpty()) {
            sendStatus(HttpStatus.SERVICE_UNAVAILABLE_503, response, callback);
            return;
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(format.directoryAnswer(addresses, ttl)), callback);
    }

    private static void sendStatus(int status, Response response, Callback callback) {
        response.setStatus(status);
        response.write(true, null, callback);
    }
}
