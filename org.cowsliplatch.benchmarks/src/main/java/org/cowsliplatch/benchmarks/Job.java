package org.cowsliplatch.benchmarks;

import org.cowsliplatch.table.Rank;

/** One request of a scenario. */
final class Job {
    final Rank rank;
    final int entry;
    final long arrivedNanos;
    final long deadlineNanos;
    final long serviceNanos;
    boolean ended;

    Job(Rank rank, int entry, long arrivedNanos, long deadlineNanos, long serviceNanos) {
        this.rank = rank;
        this.entry = entry;
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = deadlineNanos;
        this.serviceNanos = serviceNanos;
    }
}
