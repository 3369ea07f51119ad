package org.cowsliplatch.internal.platform;

import java.util.List;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.internal.telemetry.Metrics;
import org.cowsliplatch.internal.util.TokenBucket;
import org.cowsliplatch.platform.TableService;

/** Table service that counts the operations for one purpose and limits their rate. */
public final class BudgetedTableService implements TableService {
    private final TableService service;
    private final String purpose;
    private final TokenBucket reads;
    private final TokenBucket writes;
    private final Metrics metrics;

    /**
     * Wraps a table service for one purpose.
     *
     * @param service service to delegate to
     * @param purpose purpose of the operations, a label of the metrics
     * @param reads rate limit of reads
     * @param writes rate limit of writes
     * @param metrics counts the operations
     */
    public BudgetedTableService(
            TableService service, String purpose, TokenBucket reads, TokenBucket writes, Metrics metrics) {
        this.service = service;
        this.purpose = purpose;
        this.reads = reads;
        this.writes = writes;
        this.metrics = metrics;
    }

    @Override
    public Optional<Row> read(String key) throws PlatformUnavailableException {
        takeToken(reads);
        try {
            Optional<Row> row = service.read(key);
            count("ok");
            return row;
        } catch (PlatformUnavailableException e) {
            count("unavailable");
            throw e;
        }
    }

    @Override
    public List<Row> scan(String prefix, String from, int limit) throws PlatformUnavailableException {
        takeToken(reads);
        try {
            List<Row> rows = service.scan(prefix, from, limit);
            count("ok");
            return rows;
        } catch (PlatformUnavailableException e) {
            count("unavailable");
            throw e;
        }
    }

    @Override
    public void write(List<Write> batch)
            throws RowChangedException, PlatformUnavailableException, WriteOutcomeUnknownException {
        takeToken(writes);
        try {
            service.write(batch);
            count("ok");
        } catch (RowChangedException e) {
            count("changed");
            throw e;
        } catch (PlatformUnavailableException e) {
            count("unavailable");
            throw e;
        } catch (WriteOutcomeUnknownException e) {
            count("unknown");
            throw e;
        }
    }

    private void takeToken(TokenBucket bucket) throws PlatformUnavailableException {
        if (!bucket.tryTake(1)) {
            count("over-budget");
            throw new PlatformUnavailableException(
                    "table service", "rate limit of operations for " + purpose + " exceeded", null);
        }
    }

    private void count(String result) {
        metrics.storeOperation(purpose, result);
    }
}
