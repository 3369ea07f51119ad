package org.cowsliplatch.internal.table;

import java.util.List;
import java.util.random.RandomGenerator;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TableRegressionException;
import org.cowsliplatch.internal.util.PollDelay;
import org.cowsliplatch.table.TableChange;
import org.jboss.logging.Logger;

/** Keeps a {@link TableLog} up to date with the store; one call of {@link #poll} is one round. */
public final class TableFollower {
    /** What a round found. */
    public enum Round {
        /** The version in force is the store's. */
        UP_TO_DATE,
        /** The store gave no answer. */
        STORE_AWAY,
        /** The store offered something older or other than what is in force; it was refused. */
        REFUSED
    }

    private static final Logger LOG = Logger.getLogger(TableFollower.class);
    private static final int MOST_CHANGES = 200;
    private static final long PERIOD_MS = 1_000;
    private static final long LONGEST_BACKOFF_MS = 8_000;

    private final TableReader reader;
    private final TableLog log;
    private final PollDelay delay;

    /**
     * Creates a follower.
     *
     * @param reader queries on the store
     * @param log log to keep up to date
     * @param random source of jitter
     */
    public TableFollower(TableReader reader, TableLog log, RandomGenerator random) {
        this.reader = reader;
        this.log = log;
        this.delay = new PollDelay(PERIOD_MS, LONGEST_BACKOFF_MS, random);
    }

    /** Asks the store for newer versions and puts them into force. */
    public Round poll() {
        try {
            TableHead head = reader.head();
            Round round = follow(head);
            delay.recordSuccess();
            return round;
        } catch (TableRegressionException e) {
            LOG.errorf("refused tables of the store: %s", e.getMessage());
            return Round.REFUSED;
        } catch (TableException e) {
            LOG.logf(
                    delay.recordFailure() ? Logger.Level.WARN : Logger.Level.DEBUG,
                    "tables of the store could not be read: %s",
                    e.getMessage());
            return Round.STORE_AWAY;
        }
    }

    /** Returns the time in ms to wait before the next round: jittered, and longer after failures. */
    public long nextDelayMs() {
        return delay.nextMs();
    }

    private Round follow(TableHead head) throws TableException {
        switch (log.compare("the store", head.version(), head.digest())) {
            case SAME -> {
                return Round.UP_TO_DATE;
            }
            case AHEAD -> {
                LOG.errorf(
                        "the store is at table version %d, version %d is in force and stays",
                        head.version(), log.current().number());
                return Round.REFUSED;
            }
            case BEHIND -> catchUp(head);
        }
        return Round.UP_TO_DATE;
    }

    private void catchUp(TableHead head) throws TableException {
        if (head.version() - log.current().number() > MOST_CHANGES) {
            log.adopt("the store", reader.snapshotUpTo(head.version()));
        }
        long mine = log.current().number();
        if (head.version() - mine <= MOST_CHANGES) {
            List<TableChange> changes = reader.changesAfter(mine, (int) (head.version() - mine));
            if (!changes.isEmpty() && log.append("the store", changes)) {
                return;
            }
        }
        log.adopt("the store", reader.at(head.version()));
    }
}
