package org.cowsliplatch.internal.platform;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.platform.ObjectStore;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;

/** Object store accessed over HTTP. */
public final class HttpObjectStore implements ObjectStore {
    private final PlatformHttpClient http;

    /**
     * Creates a client of the service.
     *
     * @param client started HTTP client
     * @param base base URI of the service
     * @param timeout time-out of a request
     */
    public HttpObjectStore(HttpClient client, URI base, Duration timeout) {
        this.http = new PlatformHttpClient(client, base, "object store", timeout);
    }

    @Override
    public Optional<byte[]> read(String name) throws PlatformUnavailableException {
        ContentResponse response = http.read("/objects/" + name, Map.of());
        if (response.getStatus() == HttpStatus.NOT_FOUND_404) {
            return Optional.empty();
        }
        return Optional.of(response.getContent());
    }

    @Override
    public void write(String name, byte[] content) throws PlatformUnavailableException {
        try {
            ContentResponse response = http.write("PUT", "/objects/" + name, content, "application/octet-stream");
            if (!HttpStatus.isSuccess(response.getStatus())) {
                throw new PlatformUnavailableException(
                        http.service(), "PUT " + name + " failed with HTTP status " + response.getStatus(), null);
            }
        } catch (PlatformHttpClient.ResponseLostException e) {
            throw new PlatformUnavailableException(http.service(), "PUT " + name, e);
        }
    }
}
