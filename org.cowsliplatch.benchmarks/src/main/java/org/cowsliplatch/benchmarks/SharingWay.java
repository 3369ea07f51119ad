package org.cowsliplatch.benchmarks;

import java.util.List;
import java.util.SplittableRandom;

/** The ways of sharing slots that are weighed against each other. */
public enum SharingWay {
    /** One queue by rank over all slots, without any delay: the ideal. */
    CENTRAL("one central queue (ideal)") {
        @Override
        Sharing start(
                VirtualTime time,
                List<FakeEndpoint> endpoints,
                Tally tally,
                SplittableRandom random,
                long messageNanos) {
            return new GrantedSharing(time, endpoints, tally, random, 0);
        }
    },
    /** Endpoints in turn, sent again after half of the time has passed: the baseline. */
    ROUND_ROBIN("round robin, plain retry (baseline)") {
        @Override
        Sharing start(
                VirtualTime time,
                List<FakeEndpoint> endpoints,
                Tally tally,
                SplittableRandom random,
                long messageNanos) {
            return new PushedSharing(time, endpoints, tally, random, PushedSharing.Choice.IN_TURN);
        }
    },
    /** The better of two endpoints by the entry instance's own requests in flight. */
    OWN_COUNTS("two choices, own counts") {
        @Override
        Sharing start(
                VirtualTime time,
                List<FakeEndpoint> endpoints,
                Tally tally,
                SplittableRandom random,
                long messageNanos) {
            return new PushedSharing(time, endpoints, tally, random, PushedSharing.Choice.OWN);
        }
    },
    /** The better of two endpoints by all requests in flight, as known 50 ms ago. */
    SHARED_COUNTS("two choices, peers' counts 50 ms old") {
        @Override
        Sharing start(
                VirtualTime time,
                List<FakeEndpoint> endpoints,
                Tally tally,
                SplittableRandom random,
                long messageNanos) {
            return new PushedSharing(time, endpoints, tally, random, PushedSharing.Choice.SHARED);
        }
    },
    /** Slots granted by one entry instance. */
    GRANTED("granted slots") {
        @Override
        Sharing start(
                VirtualTime time,
                List<FakeEndpoint> endpoints,
                Tally tally,
                SplittableRandom random,
                long messageNanos) {
            return new GrantedSharing(time, endpoints, tally, random, messageNanos);
        }
    };

    private final String text;

    SharingWay(String text) {
        this.text = text;
    }

    /** Returns the name for a person. */
    public String text() {
        return text;
    }

    abstract Sharing start(
            VirtualTime time, List<FakeEndpoint> endpoints, Tally tally, SplittableRandom random, long messageNanos);
}
