package org.cowsliplatch.internal.platform;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.platform.InstanceList;
import org.eclipse.jetty.client.HttpClient;

/** Instance list accessed over HTTP with JSON. */
public final class HttpInstanceList implements InstanceList {
    private static final String PATH = "/instances";

    /**
     * Response body: the instances.
     *
     * @param instances all instances
     */
    public record Instances(List<Instance> instances) {}

    private final PlatformHttpClient http;

    /**
     * Creates a client of the service.
     *
     * @param client started HTTP client
     * @param base base URI of the service
     * @param timeout time-out of a request
     */
    public HttpInstanceList(HttpClient client, URI base, Duration timeout) {
        this.http = new PlatformHttpClient(client, base, "instance list", timeout);
    }

    @Override
    public List<Instance> instances() throws PlatformUnavailableException {
        return http.read(PATH, Map.of(), Instances.class).instances();
    }
}
