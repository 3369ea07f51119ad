package org.cowsliplatch.benchmarks;

import java.util.PriorityQueue;
import org.cowsliplatch.internal.util.Ticker;

/** A clock that jumps from event to event; the same events run in the same order every time. */
public final class VirtualTime implements Ticker {
    /** Nanoseconds in a millisecond. */
    public static final long MS = 1_000_000L;

    private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long nextOrder;

    @Override
    public long nanos() {
        return now;
    }

    /** Runs an action after a delay in ns. */
    public void after(long delayNanos, Runnable action) {
        events.add(new Event(now + delayNanos, nextOrder++, action));
    }

    /** Runs an action again and again, first after one period in ns. */
    public void every(long periodNanos, Runnable action) {
        after(periodNanos, () -> {
            action.run();
            every(periodNanos, action);
        });
    }

    /** Runs all events up to a moment in ns. */
    public void runUntil(long untilNanos) {
        Event next = events.peek();
        while (next != null && next.atNanos() <= untilNanos) {
            events.poll();
            now = next.atNanos();
            next.action().run();
            next = events.peek();
        }
        now = untilNanos;
    }
}
