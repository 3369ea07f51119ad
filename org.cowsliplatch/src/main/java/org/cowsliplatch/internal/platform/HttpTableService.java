package org.cowsliplatch.internal.platform;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.platform.TableService;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;

/** Table service accessed over HTTP with JSON. */
public final class HttpTableService implements TableService {
    /**
     * Response body of a scan.
     *
     * @param rows rows in key order
     */
    public record Rows(List<Row> rows) {}

    /**
     * Request body of a transaction.
     *
     * @param writes writes with their conditions
     */
    public record Transaction(List<Write> writes) {}

    /**
     * Response body of a rejected transaction: the row whose condition did not hold.
     *
     * @param key key of the row
     * @param expected expected revision
     * @param found actual revision
     */
    public record Mismatch(String key, long expected, long found) {}

    private final PlatformHttpClient http;

    /**
     * Creates a client of the service.
     *
     * @param client started HTTP client
     * @param base base URI of the service
     * @param timeout time-out of a request
     */
    public HttpTableService(HttpClient client, URI base, Duration timeout) {
        this.http = new PlatformHttpClient(client, base, "table service", timeout);
    }

    @Override
    public Optional<Row> read(String key) throws PlatformUnavailableException {
        ContentResponse response = http.read("/row", Map.of("key", key));
        if (response.getStatus() == HttpStatus.NOT_FOUND_404) {
            return Optional.empty();
        }
        return Optional.of(http.decode(response, "/row", Row.class));
    }

    @Override
    public List<Row> scan(String prefix, String from, int limit) throws PlatformUnavailableException {
        Map<String, String> params = Map.of("prefix", prefix, "from", from, "limit", Integer.toString(limit));
        return http.read("/rows", params, Rows.class).rows();
    }

    @Override
    public void write(List<Write> writes)
            throws RowChangedException, PlatformUnavailableException, WriteOutcomeUnknownException {
        String description = writes.size() + " rows from " + writes.get(0).key();
        try {
            ContentResponse response =
                    http.write("POST", "/transactions", Json.bytes(new Transaction(writes)), "application/json");
            check(response, description);
        } catch (PlatformHttpClient.ResponseLostException e) {
            throw new WriteOutcomeUnknownException(description, e);
        }
    }

    private void check(ContentResponse response, String description)
            throws RowChangedException, PlatformUnavailableException, WriteOutcomeUnknownException {
        int status = response.getStatus();
        if (HttpStatus.isSuccess(status)) {
            return;
        }
        if (status == HttpStatus.CONFLICT_409) {
            throw mismatch(response, description);
        }
        if (status == HttpStatus.SERVICE_UNAVAILABLE_503 || status == HttpStatus.TOO_MANY_REQUESTS_429) {
            throw new PlatformUnavailableException(
                    http.service(), description + " failed with HTTP status " + status, null);
        }
        throw new WriteOutcomeUnknownException(description + " failed with HTTP status " + status, null);
    }

    private static RowChangedException mismatch(ContentResponse response, String description)
            throws WriteOutcomeUnknownException {
        try {
            Mismatch mismatch = Json.read(response.getContent(), Mismatch.class);
            return new RowChangedException(mismatch.key(), mismatch.expected(), mismatch.found());
        } catch (IOException e) {
            throw new WriteOutcomeUnknownException(description, e);
        }
    }
}
