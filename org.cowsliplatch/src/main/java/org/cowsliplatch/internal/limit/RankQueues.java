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

/** Queued requests, in FIFO order within each rank; guarded by the lock of the grantor. */
final class RankQueues {
    private record RequestKey(String holder, long id) {}

    private static final class QueuedRequest {
        final SlotRequest request;
        boolean removed;

        QueuedRequest(SlotRequest request) {
            this.request = request;
        }
    }

    private final List<Deque<QueuedRequest>> queues = new ArrayList<>();
    private final int[] sizes = new int[Rank.count()];
    private final Map<RequestKey, QueuedRequest> byKey = new HashMap<>();

    RankQueues() {
        for (int i = 0; i < Rank.count(); i++) {
            queues.add(new ArrayDeque<>());
        }
    }

    void add(SlotRequest request) {
        QueuedRequest queued = new QueuedRequest(request);
        queues.get(request.rank().ordinal()).addLast(queued);
        byKey.put(key(request), queued);
        sizes[request.rank().ordinal()]++;
    }

    int size(Rank rank) {
        return sizes[rank.ordinal()];
    }

    int size() {
        return byKey.size();
    }

    /** Returns the number of requests queued at this rank or a more urgent one. */
    int sizeUpTo(Rank rank) {
        int sum = 0;
        for (int i = 0; i <= rank.ordinal(); i++) {
            sum += sizes[i];
        }
        return sum;
    }

    /** Returns the oldest request of a rank, or null. */
    @Nullable
    SlotRequest peek(Rank rank) {
        Deque<QueuedRequest> queue = queues.get(rank.ordinal());
        QueuedRequest head = queue.peekFirst();
        while (head != null && head.removed) {
            queue.pollFirst();
            head = queue.peekFirst();
        }
        return head == null ? null : head.request;
    }

    /** Returns the oldest requests of a rank, up to a limit. */
    List<SlotRequest> oldest(Rank rank, int limit) {
        List<SlotRequest> oldest = new ArrayList<>();
        for (QueuedRequest queued : queues.get(rank.ordinal())) {
            if (queued.removed) {
                continue;
            }
            oldest.add(queued.request);
            if (oldest.size() == limit) {
                return oldest;
            }
        }
        return oldest;
    }

    /** Returns the newest request of a rank, or null. */
    @Nullable
    SlotRequest peekLast(Rank rank) {
        Deque<QueuedRequest> queue = queues.get(rank.ordinal());
        QueuedRequest tail = queue.peekLast();
        while (tail != null && tail.removed) {
            queue.pollLast();
            tail = queue.peekLast();
        }
        return tail == null ? null : tail.request;
    }

    /** Removes a request; returns whether it was queued. */
    boolean remove(String holder, long id) {
        QueuedRequest queued = byKey.remove(new RequestKey(holder, id));
        if (queued == null) {
            return false;
        }
        queued.removed = true;
        sizes[queued.request.rank().ordinal()]--;
        return true;
    }

    boolean remove(SlotRequest request) {
        return remove(request.holder(), request.id());
    }

    /** Removes all requests of a holder. */
    void removeHolder(String holder) {
        Iterator<Map.Entry<RequestKey, QueuedRequest>> entries =
                byKey.entrySet().iterator();
        while (entries.hasNext()) {
            QueuedRequest queued = entries.next().getValue();
            if (queued.request.holder().equals(holder)) {
                queued.removed = true;
                sizes[queued.request.rank().ordinal()]--;
                entries.remove();
            }
        }
    }

    private static RequestKey key(SlotRequest request) {
        return new RequestKey(request.holder(), request.id());
    }
}
