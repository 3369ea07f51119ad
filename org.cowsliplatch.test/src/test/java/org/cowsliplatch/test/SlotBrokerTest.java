package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.GroupLoad;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.limit.SlotBroker;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.internal.limit.SlotSource;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberPhase;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.steer.EndpointDirectory;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.table.Rank;
import org.cowsliplatch.table.TableVersion;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests twelve brokers on a fake message bus: grantors that fail, pause, are suspected or replaced. */
final class SlotBrokerTest {
    private static final int ENTRIES = 12;
    private static final int ENDPOINTS = 12;
    private static final int SLOTS = 3;
    private static final GroupId GROUP = new GroupId("cases", "svealand");

    private record Envelope(String from, String to, PeerMessage message) {}

    private final ManualTicker ticker = new ManualTicker();
    private final Map<String, SlotBroker> brokers = new HashMap<>();
    private final Deque<Envelope> bus = new ArrayDeque<>();
    private final Set<String> failed = new HashSet<>();
    private final Map<String, Integer> outstanding = new HashMap<>();
    private final List<SlotSource.Lease> held = new ArrayList<>();
    private final List<Refusal> refusals = new ArrayList<>();
    private final List<String> names = new ArrayList<>();
    private SteeringView view = SteeringView.empty();
    private int maxOutstanding;

    @BeforeEach
    void start() throws TableException {
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            instances.add(new Instance("case-lookup", "e" + i, "10.0.0." + i + ":80", "svealand", "a", false));
        }
        for (int i = 0; i < ENTRIES; i++) {
            names.add("entry-" + i);
        }
        view = SteeringView.empty()
                .with(
                        new TableVersion(
                                1,
                                TestSystem.tables(
                                        "case-lookup,*,/cases,GET,lookup,yes,cases,5s\n",
                                        "cases,case-lookup,3,svealand=1,0s,1000\n")),
                        0)
                .with(new EndpointDirectory(instances))
                .with(members(names));
        for (String name : names) {
            SplittableRandom random = new SplittableRandom(name.hashCode());
            brokers.put(
                    name,
                    new SlotBroker(
                            name, "a", ticker, random, (to, message) -> bus.add(new Envelope(name, to, message))));
        }
        brokers.values().forEach(broker -> broker.updateView(view));
        deliverAll();
    }

    private static List<Member> members(List<String> names) {
        return names.stream().map(name -> member(name, MemberPhase.ACTIVE)).toList();
    }

    private static Member member(String name, MemberPhase phase) {
        return new Member(name, "0", "svealand", "a", "", "", "", phase, 1, "", "", List.of(), List.of());
    }

    private void deliverAll() {
        while (!bus.isEmpty()) {
            Envelope envelope = bus.removeFirst();
            SlotBroker receiver = brokers.get(envelope.to());
            if (receiver != null && !failed.contains(envelope.to()) && !failed.contains(envelope.from())) {
                receiver.receive(envelope.from(), envelope.message());
            }
        }
    }

    private void acquire(String entry) {
        SlotRequest.Requirements requirements =
                SlotRequest.Requirements.of(Rank.LOOKUP, ticker.nanos() + 5_000_000_000L);
        broker(entry).acquire(GROUP, requirements, new SlotSource.SlotCallback() {
            @Override
            public void granted(SlotSource.Lease lease) {
                held.add(lease);
                int now = outstanding.merge(lease.endpoint().id(), 1, Integer::sum);
                maxOutstanding = Math.max(maxOutstanding, now);
            }

            @Override
            public void refused(Refusal why) {
                refusals.add(why);
            }
        });
    }

    @Test
    void newGrantorBeginsWithTheCacheSizeThatItsPredecessorReported() {
        String first = broker(names.get(0)).grantorOf(GROUP).orElseThrow();
        PeerMessage.GroupReport report = new PeerMessage.GroupReport(GROUP, GroupLoad.NONE, 23);
        brokers.values().forEach(broker -> broker.learnCacheSizes(List.of(report)));
        List<String> others = names.stream().filter(name -> !name.equals(first)).toList();
        SteeringView without = view.with(members(others));
        others.forEach(name -> broker(name).updateView(without));
        SlotBroker second = broker(broker(others.get(0)).grantorOf(GROUP).orElseThrow());

        assertThat(second.loads().stream()
                        .filter(load -> load.group().equals(GROUP))
                        .map(PeerMessage.GroupReport::cachedObjects)
                        .toList())
                .containsExactly(23);
    }

    @Test
    void startingInstanceGrantsForItselfOnlyWhileItKnowsNoActiveOne() {
        String starting = names.get(0);
        String other = names.get(1);
        List<Member> joining = List.of(member(starting, MemberPhase.JOINING), member(other, MemberPhase.JOINING));
        broker(starting).updateView(view.with(joining));
        assertThat(broker(starting).grantorOf(GROUP)).hasValue(starting);
        deliverAll();
        acquire(starting);
        assertThat(held).hasSize(1);

        broker(starting)
                .updateView(
                        view.with(List.of(member(starting, MemberPhase.JOINING), member(other, MemberPhase.ACTIVE))));

        assertThat(broker(starting).grantorOf(GROUP)).hasValue(other);
        assertThat(broker(starting).loads()).isEmpty();
    }

    @Test
    void instanceThatHasJoinedAsksTheOthersWhatTheyHold() {
        String starting = names.get(0);
        String other = names.get(1);
        broker(starting).updateView(view.with(List.of(member(starting, MemberPhase.JOINING))));
        bus.clear();

        broker(starting)
                .updateView(
                        view.with(List.of(member(starting, MemberPhase.ACTIVE), member(other, MemberPhase.JOINING))));

        assertThat(bus.stream().map(Envelope::message).toList()).contains(new PeerMessage.HoldingsQuery(GROUP));
    }

    /** Guards against slots that a new grantor counts as taken for good, since they are returned to a fallback share. */
    @Test
    void newGrantorDoesNotCountSlotsOfAFallbackShare() {
        String first = broker(names.get(0)).grantorOf(GROUP).orElseThrow();
        List<String> others = names.stream().filter(name -> !name.equals(first)).toList();
        failed.add(first);
        others.forEach(this::acquire);
        ticker.advanceMs(50);
        others.forEach(name -> broker(name).tick());
        assertThat(held).isNotEmpty();
        SteeringView without = view.with(members(others));
        others.forEach(name -> broker(name).updateView(without));
        deliverAll();

        held.forEach(lease -> lease.release(SlotOutcome.ANSWERED));
        deliverAll();

        SlotBroker second = broker(broker(others.get(0)).grantorOf(GROUP).orElseThrow());
        assertThat(second.loads().stream()
                        .filter(load -> load.group().equals(GROUP))
                        .map(load -> load.load().outstanding())
                        .toList())
                .containsExactly(0);
    }

    private SlotBroker broker(String entry) {
        SlotBroker broker = brokers.get(entry);
        if (broker == null) {
            throw new AssertionError("no broker " + entry);
        }
        return broker;
    }

    private void releaseAll() {
        for (SlotSource.Lease lease : List.copyOf(held)) {
            held.remove(lease);
            outstanding.merge(lease.endpoint().id(), -1, Integer::sum);
            lease.release(SlotOutcome.ANSWERED);
        }
    }

    private void tickAll(long millis) {
        ticker.advanceMs(millis);
        for (String name : names) {
            if (!failed.contains(name)) {
                broker(name).tick();
            }
        }
        deliverAll();
    }

    private String grantor() {
        return broker(names.get(0)).grantorOf(GROUP).orElseThrow();
    }

    private void requestFromAll(int times) {
        for (int i = 0; i < times; i++) {
            for (String name : names) {
                if (!failed.contains(name)) {
                    acquire(name);
                }
            }
        }
        deliverAll();
    }

    @Test
    void endpointIsNeverOverloadedByTwelveEntries() {
        for (int round = 0; round < 20; round++) {
            requestFromAll(6);
            tickAll(5);
            releaseAll();
            deliverAll();
        }

        assertThat(maxOutstanding).isEqualTo(SLOTS);
    }

    @Test
    void failedGrantorIsSuspectedSoonAndRequestsContinue() {
        failed.add(grantor());
        requestFromAll(1);
        assertThat(held).isEmpty();

        tickAll(30);

        assertThat(held).hasSize(ENTRIES - 1);
        assertThat(refusals).isEmpty();
        assertThat(maxOutstanding).isEqualTo(1);
    }

    @Test
    void concurrencyLimitHoldsWhileTheGrantorIsSuspected() {
        requestFromAll(6);
        int granted = held.size();
        assertThat(granted).isEqualTo(ENDPOINTS * SLOTS);
        failed.add(grantor());
        tickAll(30);
        requestFromAll(3);
        tickAll(30);

        assertThat(maxOutstanding).isAtMost(SLOTS + 1);
        assertThat(held.size()).isGreaterThan(granted);
    }

    @Test
    void newGrantorRecoversOutstandingSlotsBeforeItGrants() {
        requestFromAll(6);
        String old = grantor();
        failed.add(old);
        List<String> left = names.stream().filter(name -> !name.equals(old)).toList();
        SteeringView smaller = view.with(members(left));
        left.forEach(name -> broker(name).updateView(smaller));
        deliverAll();
        tickAll(5);
        requestFromAll(6);
        tickAll(5);

        assertWithMessage("slots that the failed grantor granted to its own requests are known to no other instance")
                .that(maxOutstanding)
                .isAtMost(SLOTS + 1);
        assertThat(broker(left.get(0)).grantorOf(GROUP)).isNotEqualTo(java.util.Optional.of(old));
        releaseAll();
        deliverAll();
        tickAll(400);
        assertThat(held).isNotEmpty();
    }

    @Test
    void joiningEntryBecomesGrantorWithoutOverload() {
        requestFromAll(6);
        for (int joined = ENTRIES; joined < ENTRIES + 8; joined++) {
            String name = "entry-" + joined;
            names.add(name);
            SplittableRandom random = new SplittableRandom(joined);
            brokers.put(
                    name,
                    new SlotBroker(
                            name, "a", ticker, random, (to, message) -> bus.add(new Envelope(name, to, message))));
            SteeringView larger = view.with(members(names));
            names.forEach(entry -> broker(entry).updateView(larger));
            deliverAll();
            requestFromAll(1);
            tickAll(5);
            releaseAll();
            deliverAll();
        }

        assertThat(maxOutstanding).isAtMost(SLOTS);
        assertThat(refusals).isEmpty();
    }

    @Test
    void lateGrantOfASuspectedGrantorIsReleased() {
        String grantor = grantor();
        String requester =
                names.stream().filter(name -> !name.equals(grantor)).findFirst().orElseThrow();
        acquire(requester);
        ticker.advanceMs(30);
        broker(requester).tick();
        deliverAll();

        assertThat(held).hasSize(1);
        assertThat(broker(grantor).loads().get(0).load().outstanding()).isEqualTo(0);
    }

    /** A grantor that is disconnected from the store grants an endpoint that the holder knows to be leaving. */
    @Test
    void endpointThatAnnouncedItsLeavingIsNotToldAgainBecauseOfAnotherInstancesNews() {
        String teller = names.get(0);
        acquire(teller);
        deliverAll();
        held.get(0).leavingAnnounced();
        ticker.advanceMs(20);
        broker(teller).tick();
        assertThat(leavingToldBy(teller)).isEqualTo(ENTRIES - 1);
        deliverAll();
        broker(teller).receive(names.get(1), new PeerMessage.EndpointsLeaving(List.of("other~1")));
        ticker.advanceMs(20);

        broker(teller).tick();

        assertThat(leavingToldBy(teller)).isEqualTo(0);
        ticker.advanceMs(1_000);
        broker(teller).tick();
        assertThat(leavingToldBy(teller)).isEqualTo(ENTRIES - 1);
    }

    private long leavingToldBy(String entry) {
        return bus.stream()
                .filter(envelope -> envelope.from().equals(entry))
                .filter(envelope -> envelope.message() instanceof PeerMessage.EndpointsLeaving)
                .count();
    }

    @Test
    void endpointThatAnnouncedItsLeavingIsNotUsedByOthersThroughANewGrantor() {
        acquire(names.get(0));
        deliverAll();
        SlotSource.Lease lease = held.get(0);
        String leaving = lease.endpoint().id();
        lease.leavingAnnounced();
        releaseAll();
        deliverAll();
        tickAll(100);
        SteeringView without = view.with(
                members(names.stream().filter(name -> !name.equals(grantor())).toList()));
        names.forEach(entry -> broker(entry).updateView(without));
        deliverAll();
        held.clear();

        requestFromAll(2);
        tickAll(100);

        assertThat(held).isNotEmpty();
        assertThat(held.stream().map(granted -> granted.endpoint().id()).toList())
                .doesNotContain(leaving);
    }

    @Test
    void holderRejectsEndpointThatItKnowsToBeLeaving() {
        String grantor = broker(names.get(0)).grantorOf(GROUP).orElseThrow();
        String holder =
                names.stream().filter(name -> !name.equals(grantor)).findFirst().orElseThrow();
        List<Instance> seen = new ArrayList<>();
        for (Instance instance : view.endpoints().instances()) {
            boolean stays = instance.id().equals("e0");
            seen.add(new Instance(
                    instance.service(), instance.id(), instance.address(), instance.region(), instance.zone(), !stays));
        }
        broker(holder).updateView(view.with(new EndpointDirectory(seen)));
        deliverAll();

        for (int i = 0; i < 3; i++) {
            acquire(holder);
            deliverAll();
        }

        assertThat(held).isNotEmpty();
        for (SlotSource.Lease lease : held) {
            assertThat(lease.endpoint().id()).isEqualTo("e0");
        }
    }
}
