package org.cowsliplatch.adapter;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowsliplatch.adapter.CallerProtocol.Received;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.settings.DeploymentSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Seeded soak of entry instances as processes: backend servers stutter and cut their responses while instances are stopped,
 * killed and started, and callers check each body byte by byte.
 */
final class StutterSoakTest extends DeployedSystemFixture {
    private static final int SEEDS = Integer.getInteger("soak.seeds", 1);
    private static final long FIRST_SEED = Long.getLong("soak.firstSeed", 1);
    private static final int INSTANCES = 3;
    private static final int STOP_SECONDS = 2;
    private static final int ENDPOINTS = 8;
    private static final int SLOTS = 40;
    private static final int CALLERS = 12;
    private static final int CALLER_TIMEOUT_MS = 3_000;
    private static final long PLAY_MS = 9_000;
    private static final long CALM_MS = 1_500;
    /** One in so many instances that leave is killed. */
    private static final int KILLED_ONE_IN = 4;
    /** One in so many responses is not sound. */
    private static final int FAULTY_ONE_IN = 3;

    private static final List<ServerResponse> SOUND = responses(true);
    private static final List<ServerResponse> FAULTY = responses(false);

    @TempDir
    private Path folder = Path.of("");

    private final List<EntryProcess> live = new CopyOnWriteArrayList<>();
    private final List<EntryProcess> started = new CopyOnWriteArrayList<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger wholeResponses = new AtomicInteger();
    private volatile boolean stopped;

    private static List<ServerResponse> responses(boolean sound) {
        return ServerResponse.all().stream()
                .filter(response -> response.ending().isSound() == sound && !response.isIndistinguishableFromSound())
                .toList();
    }

    @Test
    void noCallerTakesAResponseForCompleteThatIsNot() throws Exception {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            violations.clear();
            wholeResponses.set(0);
            stopped = false;
            long currentSeed = seed;
            try (ScriptedServer server = new ScriptedServer(
                    request -> responseTo(request.path(), currentSeed).script(request.requestId()))) {
                play(server, new SplittableRandom(seed), seed);
            } finally {
                for (EntryProcess process : started) {
                    process.kill();
                }
                live.clear();
                started.clear();
            }
            assertWithMessage("seed %s", seed).that(violations).isEmpty();
            assertThat(wholeResponses.get()).isGreaterThan(0);
        }
    }

    private void play(ScriptedServer server, SplittableRandom random, long seed) throws Exception {
        for (int i = 0; i < ENDPOINTS; i++) {
            store.put("servers", "l-" + i, server.row("lookup", ZONE, SLOTS));
            store.put("servers", "b-" + i, server.row("booking", ZONE, SLOTS));
        }
        configure(1, "1.2");
        for (int i = 0; i < INSTANCES; i++) {
            startInstance("entry-" + i);
        }
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(new Thread(() -> call(number, seed), "soak-caller-" + i));
        }
        callers.forEach(Thread::start);
        int version = 1;
        long until = System.nanoTime() + PLAY_MS * 1_000_000;
        while (System.nanoTime() < until) {
            Thread.sleep(CALM_MS + random.nextInt(500));
            live.removeIf(process -> !process.isAlive());
            disturb(random);
            configure(++version, random.nextBoolean() ? "1.2" : "0.9");
        }
        stopped = true;
        for (Thread caller : callers) {
            caller.join();
        }
    }

    private void startInstance(String name) throws Exception {
        DeploymentSettings.Listen listen = freeListen();
        EntryProcess process =
                EntryProcess.start(folder, name, ZONE, Addresses.text(store.address()), STOP_SECONDS, listen);
        started.add(process);
        awaitWithin(30_000, name + " is ready", () -> !process.isAlive() || isReady(listen));
        assertWithMessage("%s runs", name).that(process.isAlive()).isTrue();
        live.add(process);
    }

    private boolean isReady(DeploymentSettings.Listen listen) {
        try {
            return ready(listen) == 200;
        } catch (AssertionError e) {
            // The process does not listen yet.
            return false;
        }
    }

    /** Stops or kills an instance and starts another; callers use it until its process is gone. */
    private void disturb(SplittableRandom random) throws Exception {
        EntryProcess leaving = live.get(random.nextInt(live.size()));
        if (random.nextInt(KILLED_ONE_IN) == 0) {
            leaving.kill();
        } else {
            leaving.terminate();
        }
        startInstance("entry-" + started.size());
    }

    private void call(int caller, long seed) {
        SplittableRandom random = new SplittableRandom(seed * CALLERS + caller);
        CallerProtocol[] protocols = CallerProtocol.values();
        Map<EntryProcess, CallerConnection> kept = new HashMap<>();
        for (int i = 0; !stopped; i++) {
            CallerProtocol protocol = protocols[random.nextInt(protocols.length)];
            boolean booking = random.nextInt(4) == 0;
            String path = (booking ? "/book/" : "/look/") + caller + "-" + i;
            List<EntryProcess> running = List.copyOf(live);
            EntryProcess process = running.get(random.nextInt(running.size()));
            check(path, seed, protocol, send(protocol, process, booking ? "POST" : "GET", path, kept));
        }
        kept.values().forEach(CallerConnection::close);
    }

    private static Received send(
            CallerProtocol protocol,
            EntryProcess process,
            String method,
            String path,
            Map<EntryProcess, CallerConnection> kept) {
        InetSocketAddress entry = process.listen().caller();
        if (protocol != CallerProtocol.HTTP_1_1_KEPT) {
            return protocol.send(entry, method, path, CALLER_TIMEOUT_MS);
        }
        try {
            CallerConnection connection = kept.get(process);
            if (connection == null || !connection.isReusable()) {
                connection = new CallerConnection(protocol, entry, CALLER_TIMEOUT_MS);
                kept.put(process, connection);
            }
            return connection.send(method, path);
        } catch (IOException e) {
            return Received.broken(String.valueOf(e.getMessage()));
        }
    }

    private void check(String path, long seed, CallerProtocol protocol, Received received) {
        ServerResponse response = responseTo(path, seed);
        String violation = response.falseCompleteness(CallerProtocol.requestId(path), received);
        if (!violation.isEmpty()) {
            violations.add(path + " by " + protocol + ", " + response + ": " + violation);
        } else if (received.isCompleteSuccess()) {
            wholeResponses.incrementAndGet();
        }
    }

    private static ServerResponse responseTo(String path, long seed) {
        SplittableRandom random = new SplittableRandom(seed * 31 + path.hashCode());
        List<ServerResponse> kinds = random.nextInt(FAULTY_ONE_IN) == 0 ? FAULTY : SOUND;
        return kinds.get(random.nextInt(kinds.size()));
    }
}
