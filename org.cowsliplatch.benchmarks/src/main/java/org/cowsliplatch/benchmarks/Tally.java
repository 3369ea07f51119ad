package org.cowsliplatch.benchmarks;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.cowsliplatch.table.Rank;

/** What happened to the requests of a scenario after its warm-up. */
public final class Tally {
    private static final long HIGHEST_MICROS = 600_000_000L;

    private final long fromNanos;
    private final List<Histogram> waits = new ArrayList<>();
    private final long[] offered = new long[Rank.count()];
    private final long[] refused = new long[Rank.count()];
    private final long[] inTime = new long[Rank.count()];
    private long extraAttempts;

    Tally(long fromNanos) {
        this.fromNanos = fromNanos;
        for (int i = 0; i < Rank.count(); i++) {
            waits.add(new Histogram(HIGHEST_MICROS, 3));
        }
    }

    private boolean counts(Job job) {
        return job.arrivedNanos >= fromNanos;
    }

    void offered(Job job) {
        if (counts(job)) {
            offered[job.rank.ordinal()]++;
        }
    }

    void started(Job job, long now) {
        if (counts(job)) {
            long micros = (now - job.arrivedNanos) / 1_000;
            waits.get(job.rank.ordinal()).recordValue(Math.min(HIGHEST_MICROS, micros));
        }
    }

    void refused(Job job) {
        if (counts(job)) {
            refused[job.rank.ordinal()]++;
        }
    }

    void done(Job job, long now) {
        if (counts(job) && !job.ended && now <= job.deadlineNanos) {
            inTime[job.rank.ordinal()]++;
        }
        job.ended = true;
    }

    void extraAttempt() {
        extraAttempts++;
    }

    /** Returns the 99th percentile of the wait of a rank, in ms. */
    public double p99WaitMs(Rank rank) {
        return waits.get(rank.ordinal()).getValueAtPercentile(99) / 1_000.0;
    }

    /** Returns the 99th percentile of the wait of all ranks, in ms. */
    public double p99WaitMs() {
        Histogram all = new Histogram(HIGHEST_MICROS, 3);
        waits.forEach(all::add);
        return all.getValueAtPercentile(99) / 1_000.0;
    }

    /** Returns the requests of a rank that were offered. */
    public long offered(Rank rank) {
        return offered[rank.ordinal()];
    }

    /** Returns the requests of a rank that were refused. */
    public long refused(Rank rank) {
        return refused[rank.ordinal()];
    }

    /** Returns the requests of all ranks that were refused. */
    public long refused() {
        long sum = 0;
        for (long count : refused) {
            sum += count;
        }
        return sum;
    }

    /** Returns the requests of a rank that were answered in time. */
    public long inTime(Rank rank) {
        return inTime[rank.ordinal()];
    }

    /** Returns the requests of all ranks that were answered in time. */
    public long inTime() {
        long sum = 0;
        for (long count : inTime) {
            sum += count;
        }
        return sum;
    }

    /** Returns the repeated attempts. */
    public long extraAttempts() {
        return extraAttempts;
    }
}
