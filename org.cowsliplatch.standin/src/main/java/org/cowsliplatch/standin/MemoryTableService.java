package org.cowsliplatch.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.RowChangedException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.platform.TableService;

/** Table service in memory that can be away, slow, lose answers, or go back to an older state. */
public final class MemoryTableService implements TableService {
    private static final String NAME = "table service";

    private final Faults faults = new Faults();
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();

    /** Returns the failures to have. */
    public Faults faults() {
        return faults;
    }

    /** Returns the number of reads so far. */
    public long reads() {
        return reads.get();
    }

    /** Returns the number of transactions so far. */
    public long writes() {
        return writes.get();
    }

    /** Returns a copy of all rows, for {@link #restore}. */
    public synchronized Map<String, Row> backup() {
        return new TreeMap<>(rows);
    }

    /** Goes back to an older state. */
    public synchronized void restore(Map<String, Row> backup) {
        rows.clear();
        rows.putAll(backup);
    }

    @Override
    public Optional<Row> read(String key) throws PlatformUnavailableException {
        beforeRead(key);
        synchronized (this) {
            return Optional.ofNullable(rows.get(key));
        }
    }

    @Override
    public List<Row> scan(String prefix, String from, int limit) throws PlatformUnavailableException {
        beforeRead(prefix);
        List<Row> found = new ArrayList<>();
        synchronized (this) {
            for (Row row : rows.tailMap(from, true).values()) {
                if (!row.key().startsWith(prefix) || found.size() == limit) {
                    break;
                }
                found.add(row);
            }
        }
        return found;
    }

    @Override
    public void write(List<Write> batch)
            throws RowChangedException, PlatformUnavailableException, WriteOutcomeUnknownException {
        writes.incrementAndGet();
        if (faults.failsBefore()) {
            throw new PlatformUnavailableException(NAME, "write", null);
        }
        apply(batch);
        if (faults.losesAnswer()) {
            throw new WriteOutcomeUnknownException("write of " + batch.get(0).key(), null);
        }
    }

    private synchronized void apply(List<Write> batch) throws RowChangedException {
        for (Write write : batch) {
            long found = revision(write.key());
            if (found != write.expectedRevision()) {
                throw new RowChangedException(write.key(), write.expectedRevision(), found);
            }
        }
        for (Write write : batch) {
            rows.put(write.key(), new Row(write.key(), revision(write.key()) + 1, write.value()));
        }
    }

    private long revision(String key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.revision();
    }

    private void beforeRead(String key) throws PlatformUnavailableException {
        reads.incrementAndGet();
        if (faults.failsBefore()) {
            throw new PlatformUnavailableException(NAME, "read " + key, null);
        }
    }
}
