package org.cowsliplatch.internal.platform;

import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.internal.http.CompleteResponses;
import org.cowsliplatch.platform.PlatformServices;
import org.cowsliplatch.settings.Settings;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.component.LifeCycle;

/** The platform's services accessed over HTTP, and the HTTP client that they share. */
public final class HttpPlatform implements AutoCloseable {
    private final HttpClient client;
    private final PlatformServices services;

    private HttpPlatform(HttpClient client, PlatformServices services) {
        this.client = client;
        this.services = services;
    }

    /**
     * Starts an HTTP client for the services given in the settings.
     *
     * @throws EntryStartException if the HTTP client cannot be started
     */
    public static HttpPlatform start(Settings.Platform settings) throws EntryStartException {
        HttpClient client = CompleteResponses.createClient();
        client.setConnectTimeout(settings.timeout().toMillis());
        client.setFollowRedirects(false);
        try {
            client.start();
        } catch (Exception e) {
            throw new EntryStartException("cannot start the HTTP client for the platform", e);
        }
        PlatformServices services = new PlatformServices(
                new HttpTableService(client, settings.tableService(), settings.timeout()),
                new HttpObjectStore(client, settings.objectStore(), settings.timeout()),
                new HttpInstanceList(client, settings.instanceList(), settings.timeout()),
                new HttpMeasurements(client, settings.measurements(), settings.timeout()));
        return new HttpPlatform(client, services);
    }

    public PlatformServices services() {
        return services;
    }

    @Override
    public void close() {
        LifeCycle.stop(client);
    }
}
