package org.cowsliplatch.internal.platform;

import java.util.List;
import java.util.Optional;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.internal.telemetry.Metrics;
import org.cowsliplatch.internal.util.TokenBucket;
import org.cowsliplatch.platform.TableService;

/** Table service whose operations for one purpose are counted and kept within a budget. */
public final class BudgetedTableService implements TableService {
    private final TableService service;
    private final String purpose;
    private final TokenBucket reads;
    private final TokenBucket writes;
    private final Metrics metrics;

    /**
     * Creates a view of a table service for one purpose.
     *
     * @param service table service
     * @param purpose name of the purpose in the metrics
     * @param reads budget of reads
     * @param writes budget of writes
     * @param metrics counters
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
        spend(reads);
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
        spend(reads);
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
        spend(writes);
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

    private void spend(TokenBucket budget) throws PlatformUnavailableException {
        if (!budget.tryTake(1)) {
            count("over-budget");
            throw new PlatformUnavailableException("table service", "the budget for " + purpose + " is used up", null);
        }
    }

    private void count(String result) {
        metrics.storeOperation(purpose, result);
    }
}
