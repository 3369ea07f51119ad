package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.ListedEndpoint;
import org.cowsliplatch.internal.limit.SlotDecision;
import org.cowsliplatch.internal.limit.SlotGrantor;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberPhase;
import org.cowsliplatch.internal.place.AffinityMap;
import org.cowsliplatch.internal.steer.EndpointDirectory;
import org.cowsliplatch.internal.steer.EntryAddressSelector;
import org.cowsliplatch.internal.steer.PoolSelector;
import org.cowsliplatch.internal.steer.SteeringView;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.table.Pool;
import org.cowsliplatch.table.Rank;
import org.cowsliplatch.table.Route;
import org.cowsliplatch.table.RouteOptions;
import org.cowsliplatch.table.TableVersion;
import org.cowsliplatch.table.Tables;
import org.junit.jupiter.api.Test;

/** Tests object affinity, shares of regions in the directory, traffic splits of pools, and cold endpoints. */
final class PlacementTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int CACHED_OBJECTS = 14;

    private static Map<String, String> zones(int endpoints) {
        Map<String, String> zones = new HashMap<>();
        for (int i = 0; i < endpoints; i++) {
            zones.put("e" + i, i % 2 == 0 ? "a" : "b");
        }
        return zones;
    }

    private static Map<String, Integer> objectsByEndpoint(AffinityMap map, int objects) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < objects; i++) {
            map.endpointsFor("o" + i).forEach(id -> counts.merge(id, 1, Integer::sum));
        }
        return counts;
    }

    @Test
    void noEndpointIsAssignedMoreObjectsThanItCaches() {
        for (int endpoints : new int[] {2, 10, 44}) {
            AffinityMap map = new AffinityMap(CACHED_OBJECTS);
            map.updateEndpoints(zones(endpoints));
            int objects = endpoints * CACHED_OBJECTS / 2 - endpoints;
            objectsByEndpoint(map, objects);

            for (int count : objectsByEndpoint(map, objects).values()) {
                assertThat(count).isAtMost(CACHED_OBJECTS);
            }
        }
    }

    @Test
    void objectIsAssignedToEachZoneWhereCachesSuffice() {
        AffinityMap map = new AffinityMap(CACHED_OBJECTS);
        map.updateEndpoints(zones(10));

        assertThat(map.endpointsFor("o")).hasSize(2);
    }

    @Test
    void fewObjectsMoveWhenAnEndpointLeaves() {
        AffinityMap map = new AffinityMap(CACHED_OBJECTS);
        Map<String, String> zones = zones(10);
        map.updateEndpoints(zones);
        objectsByEndpoint(map, 64);
        Map<String, List<String>> before = new HashMap<>();
        for (int i = 0; i < 64; i++) {
            before.put("o" + i, map.endpointsFor("o" + i));
        }
        zones.remove("e3");
        map.updateEndpoints(zones);
        int moved = 0;
        for (int i = 0; i < 64; i++) {
            List<String> known = before.getOrDefault("o" + i, List.of());
            moved += map.endpointsFor("o" + i).stream().anyMatch(id -> !known.contains(id)) ? 1 : 0;
        }

        // 13 of the 128 assignments were to the endpoint that left; as many again may be displaced by them.
        assertThat(moved).isAtMost(26);
    }

    private static SteeringView view(Map<String, Integer> endpointsByRegion, Set<String> homes) {
        List<Instance> instances = new ArrayList<>();
        List<Member> members = new ArrayList<>();
        endpointsByRegion.forEach((region, count) -> {
            for (int i = 0; i < count; i++) {
                instances.add(new Instance("p", region + i, "10.0.0.1:80", region, region, false, 3, Instance.WARM));
            }
            for (int i = 0; i < 4; i++) {
                String name = region + "-entry-" + i;
                members.add(new Member(
                        name, "0", region, region, name, "", "", MemberPhase.ACTIVE, 1, "", "", List.of(), List.of()));
            }
        });
        Pool pool = new Pool("p", "p", 64, new TreeMap<>(), Duration.ZERO, 10);
        RouteOptions options = new RouteOptions(TIMEOUT, 2, true, new TreeSet<>(homes), new TreeMap<>(Map.of("p", 1)));
        Route route = new Route("r", "h", "/", Set.of("GET"), Rank.URGENT, true, "p", TIMEOUT, options);
        return SteeringView.empty()
                .with(new TableVersion(1, Tables.of(List.of(route), List.of(pool))), 0)
                .with(new EndpointDirectory(instances))
                .with(members);
    }

    private static Map<String, Double> shares(SteeringView view, String region) {
        EntryAddressSelector directory = new EntryAddressSelector(new SplittableRandom(3));
        Map<String, Double> shares = new TreeMap<>();
        int answers = 2_000;
        for (int i = 0; i < answers; i++) {
            List<String> addresses = directory.addresses(view, "h", region);
            for (String address : addresses) {
                String of = address.substring(0, address.indexOf("-entry"));
                shares.merge(of, 1.0 / addresses.size() / answers, Double::sum);
            }
        }
        return shares;
    }

    @Test
    void callersStayInARegionWithSufficientCapacity() {
        SteeringView view = view(Map.of("south", 10, "west", 2, "north", 10), Set.of());

        assertThat(shares(view, "south").keySet()).containsExactly("south");
    }

    @Test
    void callersOfASmallRegionAreDividedByCapacity() {
        Map<String, Double> shares = shares(view(Map.of("south", 10, "west", 2, "north", 10), Set.of()), "west");

        // 2 of 22 endpoints for a third of the callers: 27 % of them stay.
        assertThat(shares.get("west")).isWithin(0.06).of(0.27);
        assertThat(shares.get("south")).isWithin(0.06).of(0.36);
        assertThat(shares.get("north")).isWithin(0.06).of(0.36);
    }

    @Test
    void homeRegionsRestrictTheDirectory() {
        SteeringView view = view(Map.of("south", 2, "west", 2, "north", 20), Set.of("south"));

        assertThat(shares(view, "west").keySet()).containsNoneOf("north", "east");
    }

    @Test
    void directoryIsNeverEmptyWhileAnInstanceIsLive() {
        SteeringView view = view(Map.of("south", 0, "west", 0), Set.of());

        assertThat(new EntryAddressSelector(new SplittableRandom(3)).addresses(view, "unknown", "nowhere"))
                .isNotEmpty();
    }

    @Test
    void splitWeightsAreKeptWithinOneRequest() {
        RouteOptions options =
                new RouteOptions(TIMEOUT, 1, false, new TreeSet<>(), new TreeMap<>(Map.of("a", 90, "b", 10, "c", 0)));
        Route route = new Route("r", "h", "/", Set.of("GET"), Rank.URGENT, true, "a", TIMEOUT, options);
        PoolSelector splits = new PoolSelector();
        int toB = 0;
        for (int i = 1; i <= 1_000; i++) {
            String pool = splits.next(route);
            assertThat(pool).isNotEqualTo("c");
            toB += pool.equals("b") ? 1 : 0;
            assertThat((double) toB).isWithin(1).of(i * 0.1);
        }
    }

    @Test
    void coldEndpointIsRateLimited() {
        ManualTicker ticker = new ManualTicker();
        Pool pool = new Pool("p", "p", 64, new TreeMap<>(), Duration.ZERO, 1_000, 3.4);
        SlotGrantor grantor = new SlotGrantor(pool, ticker, new SplittableRandom(1));
        Endpoint endpoint = new Endpoint("e", "10.0.0.1:80", "r", "z");
        long coldUntil = ticker.nanos() + 10_000_000_000L;
        grantor.updateEndpoints(List.of(new ListedEndpoint(endpoint, 3, false, false, coldUntil)));
        int granted = 0;
        long id = 0;
        for (int ms = 0; ms < 1_000; ms += 10) {
            ticker.advanceMs(10);
            long now = ticker.nanos();
            List<SlotDecision> decisions = grantor.request(
                    new SlotRequest("h", id, "z", now, SlotRequest.Requirements.of(Rank.LOOKUP, now + 20_000_000)));
            // Each slot is released at once, so that the slots alone would not limit the rate.
            if (decisions.stream().anyMatch(SlotDecision.Granted.class::isInstance)) {
                granted++;
                grantor.release("h", id, SlotOutcome.ANSWERED);
            }
            id++;
        }

        assertThat(granted).isIn(com.google.common.collect.Range.closed(3, 4));
    }

    @Test
    void coldRateIsNotSpentAgainByTheNextGrantor() {
        ManualTicker ticker = new ManualTicker();
        Pool pool = new Pool("p", "p", 64, new TreeMap<>(), Duration.ZERO, 1_000, 20);
        Endpoint endpoint = new Endpoint("e", "10.0.0.1:80", "r", "z");
        ListedEndpoint cold = new ListedEndpoint(endpoint, 64, false, false, ticker.nanos() + 10_000_000_000L);
        long granted = 0;
        for (int i = 0; i < 4; i++) {
            SlotGrantor grantor = new SlotGrantor(pool, ticker, new SplittableRandom(i));
            grantor.updateEndpoints(List.of(cold));
            for (int ms = 0; ms < 250; ms += 10) {
                ticker.advanceMs(10);
                long now = ticker.nanos();
                for (int n = 0; n < 5; n++) {
                    granted += grantor
                            .request(new SlotRequest(
                                    "h",
                                    i * 1_000L + ms + n,
                                    "z",
                                    now,
                                    SlotRequest.Requirements.of(Rank.LOOKUP, now + 20_000_000)))
                            .stream()
                            .filter(SlotDecision.Granted.class::isInstance)
                            .count();
                }
            }
        }

        assertThat(granted).isAtMost(35);
        assertThat(granted).isAtLeast(12);
    }
}
