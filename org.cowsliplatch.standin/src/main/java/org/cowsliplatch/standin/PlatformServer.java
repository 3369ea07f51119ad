package org.cowsliplatch.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.internal.platform.HttpInstanceList;
import org.cowsliplatch.internal.platform.HttpMeasurements;
import org.cowsliplatch.internal.platform.HttpTableService;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.platform.TableService;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** A {@link MemoryPlatform} behind HTTP and JSON. */
public final class PlatformServer implements AutoCloseable {
    private static final int MOST_BODY_BYTES = 64 * 1024 * 1024;

    private final MemoryPlatform platform;
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server);

    /**
     * Starts a server on a free port of the loopback address.
     *
     * @param platform services to show
     * @throws IOException if it can't be started
     */
    public PlatformServer(MemoryPlatform platform) throws IOException {
        this(platform, 0);
    }

    /**
     * Starts a server on the loopback address.
     *
     * @param platform services to show
     * @param port port, or 0 for a free one
     * @throws IOException if it can't be started
     */
    public PlatformServer(MemoryPlatform platform, int port) throws IOException {
        this.platform = platform;
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        connector.setPort(port);
        server.addConnector(connector);
        server.setHandler(new Services());
        try {
            server.start();
        } catch (Exception e) {
            throw new IOException("the platform stand-in can't start", e);
        }
    }

    /** Returns the base address of all services. */
    public URI uri() {
        return URI.create("http://" + connector.getHost() + ":" + connector.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("the platform stand-in can't stop", e);
        }
    }

    private final class Services extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            String path = request.getHttpURI().getPath();
            try {
                serve(request, path, response, callback);
            } catch (PlatformUnavailableException e) {
                reply(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503, new byte[0]);
            } catch (RowChangedException e) {
                reply(response, callback, HttpStatus.CONFLICT_409, mismatch(e));
            } catch (WriteOutcomeUnknownException e) {
                callback.failed(e);
            }
            return true;
        }

        private void serve(Request request, String path, Response response, Callback callback) throws Exception {
            if (path.equals("/rows")) {
                Fields params = Request.extractQueryParameters(request);
                int limit = Integer.parseInt(String.valueOf(params.getValue("limit")));
                json(
                        response,
                        callback,
                        new HttpTableService.Rows(platform.tables()
                                .scan(
                                        String.valueOf(params.getValue("prefix")),
                                        String.valueOf(params.getValue("from")),
                                        limit)));
            } else if (path.equals("/row")) {
                String key =
                        String.valueOf(Request.extractQueryParameters(request).getValue("key"));
                Optional<TableService.Row> row = platform.tables().read(key);
                if (row.isPresent()) {
                    json(response, callback, row.get());
                } else {
                    reply(response, callback, HttpStatus.NOT_FOUND_404, new byte[0]);
                }
            } else if (path.equals("/transactions")) {
                platform.tables()
                        .write(Json.read(body(request), HttpTableService.Transaction.class)
                                .writes());
                reply(response, callback, HttpStatus.NO_CONTENT_204, new byte[0]);
            } else if (path.startsWith("/objects/")) {
                object(request, path.substring("/objects/".length()), response, callback);
            } else if (path.equals("/instances")) {
                json(
                        response,
                        callback,
                        new HttpInstanceList.Instances(platform.instances().instances()));
            } else if (path.equals("/links")) {
                json(
                        response,
                        callback,
                        new HttpMeasurements.Links(platform.measurements().links()));
            } else {
                reply(response, callback, HttpStatus.NOT_FOUND_404, new byte[0]);
            }
        }

        private void object(Request request, String name, Response response, Callback callback) throws Exception {
            if (request.getMethod().equals("PUT")) {
                platform.objects().write(name, body(request));
                reply(response, callback, HttpStatus.NO_CONTENT_204, new byte[0]);
                return;
            }
            Optional<byte[]> content = platform.objects().read(name);
            int status = content.isPresent() ? HttpStatus.OK_200 : HttpStatus.NOT_FOUND_404;
            reply(response, callback, status, content.orElse(new byte[0]));
        }

        private static byte[] body(Request request) throws IOException {
            byte[] bytes = Content.Source.asInputStream(request).readNBytes(MOST_BODY_BYTES + 1);
            if (bytes.length > MOST_BODY_BYTES) {
                throw new IOException("the body is too long");
            }
            return bytes;
        }

        private static byte[] mismatch(RowChangedException e) {
            return Json.bytes(new HttpTableService.Mismatch(e.key(), e.expected(), e.found()));
        }

        private static void json(Response response, Callback callback, Object value) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            reply(response, callback, HttpStatus.OK_200, Json.bytes(value));
        }

        private static void reply(Response response, Callback callback, int status, byte[] body) {
            response.setStatus(status);
            response.write(true, ByteBuffer.wrap(body), callback);
        }
    }
}
