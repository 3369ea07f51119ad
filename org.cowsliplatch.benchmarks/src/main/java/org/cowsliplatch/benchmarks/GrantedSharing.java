package org.cowsliplatch.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.ListedEndpoint;
import org.cowsliplatch.internal.limit.SlotDecision;
import org.cowsliplatch.internal.limit.SlotGrantor;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.table.Pool;

/** Slots granted by the product's own {@link SlotGrantor}, reached by messages with a delay. */
final class GrantedSharing implements Sharing {
    private static final long TICK_NANOS = 5 * VirtualTime.MS;
    private static final int QUEUE_LIMIT = 5_000;
    private static final int GRANTOR_ENTRY = 0;

    private final VirtualTime time;
    private final List<FakeEndpoint> endpoints;
    private final Tally tally;
    private final long messageNanos;
    private final SlotGrantor grantor;
    private final Map<Long, Job> jobs = new HashMap<>();
    private long nextId;

    GrantedSharing(
            VirtualTime time, List<FakeEndpoint> endpoints, Tally tally, SplittableRandom random, long messageNanos) {
        this.time = time;
        this.endpoints = endpoints;
        this.tally = tally;
        this.messageNanos = messageNanos;
        Pool pool =
                new Pool("pool", "service", SlotScenario.SLOTS, new TreeMap<>(), Duration.ofSeconds(2), QUEUE_LIMIT);
        this.grantor = new SlotGrantor(pool, time, random);
        List<ListedEndpoint> listed = new ArrayList<>();
        for (int i = 0; i < endpoints.size(); i++) {
            listed.add(ListedEndpoint.active(new Endpoint(Integer.toString(i), "", "", "")));
        }
        handle(grantor.updateEndpoints(listed));
        time.every(TICK_NANOS, () -> handle(grantor.tick()));
    }

    @Override
    public void arrive(Job job) {
        long id = nextId++;
        jobs.put(id, job);
        SlotRequest ask = new SlotRequest(
                Integer.toString(job.entry),
                id,
                "",
                job.arrivedNanos,
                SlotRequest.Requirements.of(job.rank, job.deadlineNanos));
        time.after(delay(job), () -> handle(grantor.request(ask)));
    }

    private long delay(Job job) {
        return job.entry == GRANTOR_ENTRY ? 0 : messageNanos;
    }

    private void handle(List<SlotDecision> events) {
        for (SlotDecision event : events) {
            Job job = jobs.remove(event.request().id());
            if (job == null) {
                throw new IllegalStateException("ask " + event.request().id() + " was decided twice");
            }
            if (event instanceof SlotDecision.Granted granted) {
                time.after(delay(job), () -> send(job, granted));
            } else {
                tally.refused(job);
            }
        }
    }

    private void send(Job job, SlotDecision.Granted granted) {
        FakeEndpoint endpoint =
                endpoints.get(Integer.parseInt(granted.endpoint().id()));
        endpoint.accept(job, started -> tally.started(started, time.nanos()), done -> {
            tally.done(done, time.nanos());
            time.after(
                    delay(done),
                    () -> handle(grantor.release(
                            granted.request().holder(), granted.request().id(), SlotOutcome.ANSWERED)));
        });
    }
}
