package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.net.InetAddress;
import java.net.URI;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.cowsliplatch.internal.telemetry.Tracing;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;

/** Checks that spans are exported to a collector and kept in memory. */
final class TracingTest {
    private static final String TRACE = "4bf92f3577b34da6a3ce929d0e0e4736";

    /** Collector that counts the bytes it received. */
    private static final class Collector extends Handler.Abstract {
        final AtomicLong bytes = new AtomicLong();

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            bytes.addAndGet(Content.Source.asInputStream(request).readAllBytes().length);
            callback.succeeded();
            return true;
        }
    }

    @Test
    void spansAreExportedIfACollectorIsConfigured() throws Exception {
        Server server = new Server();
        ServerConnector connector = new ServerConnector(server);
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        server.addConnector(connector);
        Collector collector = new Collector();
        server.setHandler(collector);
        server.start();
        try {
            URI uri = URI.create("http://127.0.0.1:" + connector.getLocalPort() + "/v1/traces");
            Tracing tracing = new Tracing("entry-1", Optional.of(uri));
            HttpFields headers = HttpFields.build().put("traceparent", "00-" + TRACE + "-00f067aa0ba902b7-01");
            Span receive = tracing.receive(headers, "GET", "/cases/1");
            tracing.child(receive, "queue", SpanKind.INTERNAL).end();
            receive.end();
            tracing.close();

            Await.until("the collector received the spans", () -> collector.bytes.get() > 0);
            assertThat(tracing.ring().trace(TRACE)).hasSize(2);
        } finally {
            server.stop();
        }
    }
}
