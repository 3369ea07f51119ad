package org.cowsliplatch.benchmarks;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** An endpoint with a few slots and a queue before them. */
final class FakeEndpoint {
    private record Work(Job job, Consumer<Job> onStart, Consumer<Job> onDone) {}

    private final VirtualTime time;
    private final int slots;
    private final ArrayDeque<Work> queue = new ArrayDeque<>();
    private int busy;
    private int mostOutstanding;

    FakeEndpoint(VirtualTime time, int slots) {
        this.time = time;
        this.slots = slots;
    }

    /** Takes a request; it starts at once if a slot is free. */
    void accept(Job job, Consumer<Job> onStart, Consumer<Job> onDone) {
        queue.addLast(new Work(job, onStart, onDone));
        mostOutstanding = Math.max(mostOutstanding, outstanding());
        startNext();
    }

    int outstanding() {
        return busy + queue.size();
    }

    int mostOutstanding() {
        return mostOutstanding;
    }

    private void startNext() {
        if (busy == slots || queue.isEmpty()) {
            return;
        }
        Work work = queue.removeFirst();
        busy++;
        work.onStart().accept(work.job());
        time.after(work.job().serviceNanos, () -> {
            busy--;
            work.onDone().accept(work.job());
            startNext();
        });
    }
}
