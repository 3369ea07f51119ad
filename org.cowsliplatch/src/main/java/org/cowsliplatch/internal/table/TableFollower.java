package org.cowsliplatch.internal.table;

import java.util.List;
import java.util.random.RandomGenerator;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TableRegressionException;
import org.cowsliplatch.internal.util.PollDelay;
import org.cowsliplatch.table.TableChange;
import org.jboss.logging.Logger;

/** Keeps a {@link TableLog} up to date with the platform's store by polling it. */
public final class TableFollower {
    /** Result of one poll. */
    public enum PollResult {
        /** The version in force is that of the store. */
        UP_TO_DATE,
        /** The store did not answer, or its tables could not be read. */
        STORE_UNAVAILABLE,
        /** The store has an older version than the one in force, or other content under its number. */
        REJECTED
    }

    private static final Logger LOG = Logger.getLogger(TableFollower.class);
    private static final int MAX_CHANGES_PER_POLL = 200;
    private static final long POLL_INTERVAL_MS = 1_000;
    private static final long MAX_BACKOFF_MS = 8_000;

    private final TableReader reader;
    private final TableLog log;
    private final PollDelay delay;

    /**
     * Creates a follower.
     *
     * @param reader reads the store
     * @param log log to keep up to date
     * @param random source of jitter
     */
    public TableFollower(TableReader reader, TableLog log, RandomGenerator random) {
        this.reader = reader;
        this.log = log;
        this.delay = new PollDelay(POLL_INTERVAL_MS, MAX_BACKOFF_MS, random);
    }

    /** Reads newer versions from the store and puts them into force. */
    public PollResult poll() {
        try {
            TableHead head = reader.head();
            PollResult result = follow(head);
            delay.recordSuccess();
            return result;
        } catch (TableRegressionException e) {
            LOG.errorf("rejected the tables in the store: %s", e.getMessage());
            return PollResult.REJECTED;
        } catch (TableException e) {
            LOG.logf(
                    delay.recordFailure() ? Logger.Level.WARN : Logger.Level.DEBUG,
                    "could not read the tables in the store: %s",
                    e.getMessage());
            return PollResult.STORE_UNAVAILABLE;
        }
    }

    /** Returns the delay before the next poll in ms, with jitter and with back-off after failures. */
    public long nextDelayMs() {
        return delay.nextMs();
    }

    private PollResult follow(TableHead head) throws TableException {
        switch (log.compare("the store", head.version(), head.digest())) {
            case SAME -> {
                return PollResult.UP_TO_DATE;
            }
            case AHEAD -> {
                LOG.errorf(
                        "the store is at table version %d, older than version %d, which stays in force",
                        head.version(), log.current().number());
                return PollResult.REJECTED;
            }
            case BEHIND -> catchUp(head);
        }
        return PollResult.UP_TO_DATE;
    }

    private void catchUp(TableHead head) throws TableException {
        if (head.version() - log.current().number() > MAX_CHANGES_PER_POLL) {
            log.adopt("the store", reader.snapshotUpTo(head.version()));
        }
        long current = log.current().number();
        if (head.version() - current <= MAX_CHANGES_PER_POLL) {
            List<TableChange> changes = reader.changesAfter(current, (int) (head.version() - current));
            if (!changes.isEmpty() && log.append("the store", changes)) {
                return;
            }
        }
        log.adopt("the store", reader.at(head.version()));
    }
}
