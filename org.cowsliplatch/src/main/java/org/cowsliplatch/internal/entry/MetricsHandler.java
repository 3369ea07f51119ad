package org.cowsliplatch.internal.entry;

import java.nio.ByteBuffer;
import org.cowsliplatch.internal.telemetry.Metrics;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the metrics in the Prometheus text format, on any path. */
final class MetricsHandler extends Handler.Abstract {
    private final Metrics metrics;

    MetricsHandler(Metrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
        response.write(true, ByteBuffer.wrap(metrics.text()), callback);
        return true;
    }
}
