package org.cowsliplatch.internal.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.cowsliplatch.table.Rank;
import org.jspecify.annotations.Nullable;

/** Asks that wait, oldest first within each rank; guarded by the lock of the grantor. */
final class RankQueues {
    private record Key(String holder, long id) {}

    private static final class Waiting {
        final SlotRequest ask;
        boolean done;

        Waiting(SlotRequest ask) {
            this.ask = ask;
        }
    }

    private final List<Deque<Waiting>> queues = new ArrayList<>();
    private final int[] sizes = new int[Rank.count()];
    private final Map<Key, Waiting> byKey = new HashMap<>();

    RankQueues() {
        for (int i = 0; i < Rank.count(); i++) {
            queues.add(new ArrayDeque<>());
        }
    }

    void add(SlotRequest ask) {
        Waiting waiting = new Waiting(ask);
        queues.get(ask.rank().ordinal()).addLast(waiting);
        byKey.put(key(ask), waiting);
        sizes[ask.rank().ordinal()]++;
    }

    int size(Rank rank) {
        return sizes[rank.ordinal()];
    }

    int size() {
        return byKey.size();
    }

    /** Returns how many wait at this rank or a more urgent one. */
    int sizeUpTo(Rank rank) {
        int sum = 0;
        for (int i = 0; i <= rank.ordinal(); i++) {
            sum += sizes[i];
        }
        return sum;
    }

    /** Returns the oldest ask of a rank, or null. */
    @Nullable
    SlotRequest peek(Rank rank) {
        Deque<Waiting> queue = queues.get(rank.ordinal());
        Waiting head = queue.peekFirst();
        while (head != null && head.done) {
            queue.pollFirst();
            head = queue.peekFirst();
        }
        return head == null ? null : head.ask;
    }

    /** Returns the oldest asks of a rank, at most so many. */
    List<SlotRequest> oldest(Rank rank, int most) {
        List<SlotRequest> oldest = new ArrayList<>();
        for (Waiting waiting : queues.get(rank.ordinal())) {
            if (waiting.done) {
                continue;
            }
            oldest.add(waiting.ask);
            if (oldest.size() == most) {
                return oldest;
            }
        }
        return oldest;
    }

    /** Returns the newest ask of a rank, or null. */
    @Nullable
    SlotRequest peekLast(Rank rank) {
        Deque<Waiting> queue = queues.get(rank.ordinal());
        Waiting tail = queue.peekLast();
        while (tail != null && tail.done) {
            queue.pollLast();
            tail = queue.peekLast();
        }
        return tail == null ? null : tail.ask;
    }

    /** Removes an ask; returns whether it waited. */
    boolean remove(String holder, long id) {
        Waiting waiting = byKey.remove(new Key(holder, id));
        if (waiting == null) {
            return false;
        }
        waiting.done = true;
        sizes[waiting.ask.rank().ordinal()]--;
        return true;
    }

    boolean remove(SlotRequest ask) {
        return remove(ask.holder(), ask.id());
    }

    /** Removes all asks of a holder. */
    void removeHolder(String holder) {
        Iterator<Map.Entry<Key, Waiting>> entries = byKey.entrySet().iterator();
        while (entries.hasNext()) {
            Waiting waiting = entries.next().getValue();
            if (waiting.ask.holder().equals(holder)) {
                waiting.done = true;
                sizes[waiting.ask.rank().ordinal()]--;
                entries.remove();
            }
        }
    }

    private static Key key(SlotRequest ask) {
        return new Key(ask.holder(), ask.id());
    }
}
