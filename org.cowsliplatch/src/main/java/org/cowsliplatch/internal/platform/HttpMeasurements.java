package org.cowsliplatch.internal.platform;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.platform.Measurements;
import org.eclipse.jetty.client.HttpClient;

/** Measurements of links behind HTTP and JSON. */
public final class HttpMeasurements implements Measurements {
    private static final String PATH = "/links";

    /**
     * Figures of one answer.
     *
     * @param links latest figure of each link
     */
    public record Links(List<LinkTraffic> links) {}

    private final PlatformHttpClient http;

    /**
     * Creates an adapter.
     *
     * @param client started HTTP client
     * @param base address of the service
     * @param timeout longest wait for an answer
     */
    public HttpMeasurements(HttpClient client, URI base, Duration timeout) {
        this.http = new PlatformHttpClient(client, base, "measurements", timeout);
    }

    @Override
    public List<LinkTraffic> links() throws PlatformUnavailableException {
        return http.read(PATH, Map.of(), Links.class).links();
    }
}
