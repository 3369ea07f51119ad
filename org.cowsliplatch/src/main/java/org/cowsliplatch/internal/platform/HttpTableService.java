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

/** Table service behind HTTP and JSON. */
public final class HttpTableService implements TableService {
    /**
     * Rows of one answer.
     *
     * @param rows rows in key order
     */
    public record Rows(List<Row> rows) {}

    /**
     * A transaction.
     *
     * @param writes conditions and writes
     */
    public record Transaction(List<Write> writes) {}

    /**
     * The row because of which a transaction had no effect.
     *
     * @param key key of the row
     * @param expected revision that was expected
     * @param found revision that was found
     */
    public record Mismatch(String key, long expected, long found) {}

    private final PlatformHttpClient http;

    /**
     * Creates an adapter.
     *
     * @param client started HTTP client
     * @param base address of the service
     * @param timeout longest wait for an answer
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
        String what = writes.size() + " rows from " + writes.get(0).key();
        try {
            ContentResponse response =
                    http.write("POST", "/transactions", Json.bytes(new Transaction(writes)), "application/json");
            check(response, what);
        } catch (PlatformHttpClient.ResponseLostException e) {
            throw new WriteOutcomeUnknownException(what, e);
        }
    }

    private void check(ContentResponse response, String what)
            throws RowChangedException, PlatformUnavailableException, WriteOutcomeUnknownException {
        int status = response.getStatus();
        if (HttpStatus.isSuccess(status)) {
            return;
        }
        if (status == HttpStatus.CONFLICT_409) {
            throw mismatch(response, what);
        }
        if (status == HttpStatus.SERVICE_UNAVAILABLE_503 || status == HttpStatus.TOO_MANY_REQUESTS_429) {
            throw new PlatformUnavailableException(http.service(), what + " was answered " + status, null);
        }
        throw new WriteOutcomeUnknownException(what + " was answered " + status, null);
    }

    private static RowChangedException mismatch(ContentResponse response, String what)
            throws WriteOutcomeUnknownException {
        try {
            Mismatch mismatch = Json.read(response.getContent(), Mismatch.class);
            return new RowChangedException(mismatch.key(), mismatch.expected(), mismatch.found());
        } catch (IOException e) {
            throw new WriteOutcomeUnknownException(what, e);
        }
    }
}
