package org.cowsliplatch.benchmarks;

import java.util.List;
import java.util.SplittableRandom;

/** Each entry instance sends every request at once to an endpoint of its own choice. */
final class PushedSharing implements Sharing {
    /** What the choice goes by. */
    enum Choice {
        /** Endpoints in turn. */
        IN_TURN,
        /** Own requests in flight, two choices. */
        OWN,
        /** Requests of all in flight some time ago and own ones since, two choices. */
        SHARED
    }

    private static final long COUNTS_PERIOD_NANOS = 50 * VirtualTime.MS;
    private static final int MOST_ATTEMPTS = 3;

    private final VirtualTime time;
    private final List<FakeEndpoint> endpoints;
    private final Tally tally;
    private final SplittableRandom random;
    private final Choice choice;
    private final int[][] own;
    private final int[][] ownAtReport;
    private final int[] reported;
    private final int[] turn = new int[SlotScenario.ENTRIES];

    PushedSharing(VirtualTime time, List<FakeEndpoint> endpoints, Tally tally, SplittableRandom random, Choice choice) {
        this.time = time;
        this.endpoints = endpoints;
        this.tally = tally;
        this.random = random;
        this.choice = choice;
        this.own = new int[SlotScenario.ENTRIES][endpoints.size()];
        this.ownAtReport = new int[SlotScenario.ENTRIES][endpoints.size()];
        this.reported = new int[endpoints.size()];
        if (choice == Choice.SHARED) {
            time.every(COUNTS_PERIOD_NANOS, this::report);
        }
        for (int i = 0; i < turn.length; i++) {
            turn[i] = random.nextInt(endpoints.size());
        }
    }

    @Override
    public void arrive(Job job) {
        send(job, 1);
    }

    private void send(Job job, int attempt) {
        int index = choose(job.entry);
        own[job.entry][index]++;
        endpoints
                .get(index)
                .accept(
                        job,
                        started -> {
                            if (attempt == 1) {
                                tally.started(started, time.nanos());
                            }
                        },
                        done -> {
                            own[done.entry][index]--;
                            tally.done(done, time.nanos());
                        });
        if (choice == Choice.IN_TURN && attempt < MOST_ATTEMPTS) {
            time.after(SlotScenario.BUDGET_NANOS / 2, () -> {
                if (!job.ended) {
                    tally.extraAttempt();
                    send(job, attempt + 1);
                }
            });
        }
    }

    private int choose(int entry) {
        if (choice == Choice.IN_TURN) {
            turn[entry] = (turn[entry] + 1) % endpoints.size();
            return turn[entry];
        }
        int a = random.nextInt(endpoints.size());
        int b = random.nextInt(endpoints.size());
        return count(entry, a) <= count(entry, b) ? a : b;
    }

    private int count(int entry, int index) {
        if (choice == Choice.OWN) {
            return own[entry][index];
        }
        return reported[index] + own[entry][index] - ownAtReport[entry][index];
    }

    private void report() {
        for (int i = 0; i < endpoints.size(); i++) {
            reported[i] = endpoints.get(i).outstanding();
            for (int entry = 0; entry < SlotScenario.ENTRIES; entry++) {
                ownAtReport[entry][i] = own[entry][i];
            }
        }
    }
}
