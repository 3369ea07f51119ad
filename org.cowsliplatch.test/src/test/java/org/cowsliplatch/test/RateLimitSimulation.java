package org.cowsliplatch.test;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.LimitNotice;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.limit.SlotBroker;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.internal.limit.SlotSource;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberPhase;
import org.cowsliplatch.internal.member.Membership;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.steer.EndpointDirectory;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.table.Rank;
import org.cowsliplatch.table.TableVersion;
import org.jspecify.annotations.Nullable;

/**
 * Entry instances on virtual time that send more requests than the endpoints' limits allow, while random ones are
 * restarted, frozen and cut off.
 */
final class RateLimitSimulation {
    private static final GroupId GROUP = new GroupId("cases", "svealand");
    private static final long STEP_MS = 5;
    private static final long TICK_MS = 20;
    private static final long HEARTBEAT_MS = 700;
    private static final long MS = 1_000_000L;
    /** Time in ms after a disturbance for which an instance is not counted. */
    private static final long DISTURBED_MS = 3_000;
    /** Time in ms after which an instance that has got an answer with the limit must keep to it. */
    private static final long NOTICE_MS = 500;

    private static final long WINDOW_MS = 4_000;
    private static final long SERVICE_MS = 300;

    /** One request that reached an endpoint. */
    record Arrival(long atMs, String instance, String endpoint) {}

    private record Delivery(long atMs, long order, String to, int incarnation, Runnable action) {}

    private static final class Node {
        final String name;
        int incarnation;

        @Nullable
        SlotBroker broker;

        @Nullable
        Membership membership;

        Set<String> known = Set.of();
        boolean frozen;
        boolean cut;
        long undisturbedFromMs;

        Node(String name) {
            this.name = name;
        }

        SlotBroker broker() {
            return Objects.requireNonNull(broker);
        }

        Membership membership() {
            return Objects.requireNonNull(membership);
        }
    }

    private final ManualTicker ticker = new ManualTicker();
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byName = new HashMap<>();
    private final Map<String, Double> limits = new TreeMap<>();
    private final Map<String, Map<String, Long>> toldAtMs = new HashMap<>();
    private final Map<String, List<Arrival>> arrivals = new TreeMap<>();
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::order));
    private final SteeringView view;
    private long nowMs;
    private long order;
    private int refused;

    RateLimitSimulation(long seed, int instances, int endpoints) throws TableException {
        random = new SplittableRandom(seed);
        List<Instance> listed = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            listed.add(new Instance("case-lookup", "e" + i, "10.0.0." + i + ":80", "svealand", "a", false));
            arrivals.put("e" + i, new ArrayList<>());
        }
        view = SteeringView.empty()
                .with(
                        new TableVersion(
                                1,
                                TestSystem.tables(
                                        "case-lookup,*,/cases,GET,lookup,yes,cases,5s\n",
                                        "cases,case-lookup,3,svealand=1,0s,1000\n")),
                        0)
                .with(new EndpointDirectory(listed));
        for (int i = 0; i < instances; i++) {
            Node node = new Node("entry-" + i);
            nodes.add(node);
            byName.put(node.name, node);
            start(node);
        }
    }

    /** Sets the limit that an endpoint names from now on; a negative one for none. */
    void limit(String endpoint, double perSecond) {
        if (perSecond < 0) {
            limits.remove(endpoint);
            toldAtMs.remove(endpoint);
        } else {
            limits.put(endpoint, perSecond);
        }
    }

    /** Runs for a time with a number of requests per second to each instance. */
    void run(long millis, double requestsPerSecond) {
        long untilMs = nowMs + millis;
        while (nowMs < untilMs) {
            nowMs += STEP_MS;
            ticker.advanceMs(STEP_MS);
            while (!deliveries.isEmpty() && deliveries.peek().atMs() <= nowMs) {
                deliver(deliveries.poll());
            }
            for (Node node : nodes) {
                if (!node.frozen) {
                    step(node, requestsPerSecond);
                }
            }
        }
    }

    void restart(int index) {
        Node node = nodes.get(index);
        disturb(node);
        node.incarnation++;
        start(node);
    }

    void freeze(int index, boolean frozen) {
        disturb(nodes.get(index));
        nodes.get(index).frozen = frozen;
    }

    void cut(int index, boolean cut) {
        disturb(nodes.get(index));
        nodes.get(index).cut = cut;
    }

    int instances() {
        return nodes.size();
    }

    int refused() {
        return refused;
    }

    List<Arrival> arrivalsAt(String endpoint) {
        return arrivals.getOrDefault(endpoint, List.of());
    }

    /** Returns the most requests that undisturbed instances sent to an endpoint in any window since a time. */
    int mostInWindow(String endpoint, long fromMs) {
        List<Arrival> counted =
                arrivalsAt(endpoint).stream().filter(a -> a.atMs() >= fromMs).toList();
        int most = 0;
        int first = 0;
        for (int i = 0; i < counted.size(); i++) {
            while (counted.get(i).atMs() - counted.get(first).atMs() >= WINDOW_MS) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }

    private void start(Node node) {
        int incarnation = node.incarnation;
        node.membership = new Membership(node.name, ticker);
        node.known = Set.of(node.name);
        node.broker = new SlotBroker(
                node.name,
                "a",
                ticker,
                new SplittableRandom(random.nextLong()),
                (to, message) -> send(node, to, message));
        node.broker().updateView(view.with(List.of(member(node))));
        post(1, node, incarnation, () -> heartbeat(node, incarnation));
    }

    private static Member member(Node node) {
        String incarnation = Integer.toString(node.incarnation);
        return new Member(
                node.name,
                incarnation,
                "svealand",
                "a",
                "",
                "",
                "",
                MemberPhase.ACTIVE,
                1,
                "",
                "",
                List.of(),
                List.of());
    }

    private void heartbeat(Node node, int incarnation) {
        for (Node peer : nodes) {
            if (peer != node && isConnected(node, peer)) {
                post(1 + random.nextInt(3), peer, peer.incarnation, () -> {
                    peer.membership().update(member(node));
                    refreshMembers(peer);
                });
            }
        }
        node.membership().expire();
        refreshMembers(node);
        post(HEARTBEAT_MS, node, incarnation, () -> heartbeat(node, incarnation));
    }

    private void refreshMembers(Node node) {
        List<Member> members = new ArrayList<>(node.membership().peers());
        members.add(member(node));
        members.sort(Comparator.comparing(Member::name));
        Set<String> names = new HashSet<>();
        members.forEach(member -> names.add(member.name() + member.incarnation()));
        if (!names.equals(node.known)) {
            node.known = names;
            node.broker().updateView(view.with(members));
        }
    }

    private void step(Node node, double requestsPerSecond) {
        if (nowMs % TICK_MS == 0) {
            node.broker().tick();
        }
        if (random.nextDouble() < requestsPerSecond * STEP_MS / 1_000) {
            request(node);
        }
    }

    private void request(Node node) {
        long now = ticker.nanos();
        SlotRequest.Requirements requirements = new SlotRequest.Requirements(
                Rank.LOOKUP, now + 600 * MS, now + 1_200 * MS, List.of(), "o" + random.nextInt(40));
        int incarnation = node.incarnation;
        node.broker().acquire(GROUP, requirements, new SlotSource.SlotCallback() {
            @Override
            public void granted(SlotSource.Lease lease) {
                String endpoint = lease.endpoint().id();
                postToEndpoint(() -> arrive(node, endpoint));
                post(SERVICE_MS + random.nextInt(200), node, incarnation, () -> answer(node, lease, endpoint));
            }

            @Override
            public void refused(Refusal why) {
                refused++;
            }
        });
    }

    private void arrive(Node node, String endpoint) {
        Long told = toldAtMs.getOrDefault(endpoint, Map.of()).get(node.name);
        boolean isTold = told != null && nowMs - told >= NOTICE_MS;
        boolean isDisturbed = node.frozen || node.cut || nowMs < node.undisturbedFromMs;
        if (isTold && !isDisturbed) {
            arrivals.computeIfAbsent(endpoint, key -> new ArrayList<>()).add(new Arrival(nowMs, node.name, endpoint));
        }
    }

    private void answer(Node node, SlotSource.Lease lease, String endpoint) {
        Double limit = limits.get(endpoint);
        if (limit != null) {
            toldAtMs.computeIfAbsent(endpoint, key -> new HashMap<>()).putIfAbsent(node.name, nowMs);
        }
        lease.limitNoticed(limit == null ? LimitNotice.ABSENT : LimitNotice.named(limit));
        lease.release(SlotOutcome.ANSWERED);
    }

    private void send(Node from, String to, PeerMessage message) {
        Node receiver = byName.get(to);
        if (receiver != null && isConnected(from, receiver)) {
            post(1 + random.nextInt(3), receiver, receiver.incarnation, () -> receiver.broker()
                    .receive(from.name, message));
        }
    }

    private static boolean isConnected(Node a, Node b) {
        return !a.cut && !b.cut;
    }

    private void disturb(Node node) {
        node.undisturbedFromMs = nowMs + DISTURBED_MS;
    }

    private void post(long delayMs, Node to, int incarnation, Runnable action) {
        deliveries.add(new Delivery(nowMs + delayMs, order++, to.name, incarnation, action));
    }

    private void postToEndpoint(Runnable action) {
        deliveries.add(new Delivery(nowMs + 1, order++, "", 0, action));
    }

    private void deliver(Delivery delivery) {
        Node node = byName.get(delivery.to());
        if (node == null) {
            delivery.action().run();
        } else if (node.frozen) {
            deliveries.add(new Delivery(
                    nowMs + STEP_MS, delivery.order(), delivery.to(), delivery.incarnation(), delivery.action()));
        } else if (node.incarnation == delivery.incarnation()) {
            delivery.action().run();
        }
    }
}
