package org.cowsliplatch.internal.platform;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.platform.Measurements;
import org.eclipse.jetty.client.HttpClient;

/** Link measurements accessed over HTTP with JSON. */
public final class HttpMeasurements implements Measurements {
    private static final String PATH = "/links";

    /**
     * Response body: the traffic of the links.
     *
     * @param links latest measurement of each link
     */
    public record Links(List<LinkTraffic> links) {}

    private final PlatformHttpClient http;

    /**
     * Creates a client of the service.
     *
     * @param client started HTTP client
     * @param base base URI of the service
     * @param timeout time-out of a request
     */
    public HttpMeasurements(HttpClient client, URI base, Duration timeout) {
        this.http = new PlatformHttpClient(client, base, "measurements", timeout);
    }

    @Override
    public List<LinkTraffic> links() throws PlatformUnavailableException {
        return http.read(PATH, Map.of(), Links.class).links();
    }
}
