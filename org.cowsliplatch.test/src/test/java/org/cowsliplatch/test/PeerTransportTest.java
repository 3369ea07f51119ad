package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberPhase;
import org.cowsliplatch.internal.peer.PeerListener;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.internal.peer.PeerTransport;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.internal.util.Ticker;
import org.junit.jupiter.api.Test;

/** Heartbeats over real connections. */
final class PeerTransportTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int ROUNDS = 2_000;
    private static final int CONNECT_ROUNDS = 300;
    private static final int BACKLOG = 50;
    /** Time in ms in which a connection that was opened too many would be accepted. */
    private static final long LATE_ACCEPT_MS = 200;

    /** Records the table version in the latest description of a peer. */
    private static final class RecordingListener implements PeerListener {
        final AtomicLong version = new AtomicLong(-1);
        final List<String> failedAddresses = new CopyOnWriteArrayList<>();

        @Override
        public void connectionFailed(String address) {
            failedAddresses.add(address);
        }

        @Override
        public void memberDescribed(Member member) {
            version.set(member.tableVersion());
        }

        @Override
        public boolean heartbeatReceived(String from, List<PeerMessage.GroupReport> loads) {
            return true;
        }

        @Override
        public void messageReceived(String from, PeerMessage message) {}
    }

    private static Member member(String name, long version) {
        return new Member(name, "0", "r", "z", "", "", "", MemberPhase.ACTIVE, version, "", "", List.of(), List.of());
    }

    @Test
    void peerHasTheLatestDescriptionAfterConcurrentHeartbeats() throws Exception {
        AtomicLong version = new AtomicLong();
        RecordingListener listener = new RecordingListener();
        try (PeerTransport receiver = new PeerTransport(() -> member("b", 0), Ticker.system(), listener);
                PeerTransport sender =
                        new PeerTransport(() -> member("a", version.get()), Ticker.system(), new RecordingListener())) {
            String address = Addresses.text(receiver.start(ANY));
            sender.start(ANY);
            sender.connect(List.of(address));
            Await.until("the peer is known", () -> listener.version.get() == 0);
            for (int i = 0; i < ROUNDS; i++) {
                sendConcurrently(sender, version);
                sender.heartbeat(List.of());
                Await.until("the newest description is known", () -> listener.version.get() == version.get());
            }
        }

        assertThat(listener.version.get()).isEqualTo(ROUNDS);
    }

    @Test
    void refusedConnectionIsReported() throws Exception {
        RecordingListener listener = new RecordingListener();
        ServerSocket closed = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        String address = "127.0.0.1:" + closed.getLocalPort();
        closed.close();
        try (PeerTransport sender = new PeerTransport(() -> member("a", 0), Ticker.system(), listener)) {
            sender.connect(List.of(address));

            Await.until("the refusal is reported", () -> listener.failedAddresses.equals(List.of(address)));
        }
    }

    @Test
    void concurrentCallsOpenOneConnection() throws Exception {
        try (ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
                PeerTransport sender =
                        new PeerTransport(() -> member("a", 0), Ticker.system(), new RecordingListener())) {
            AtomicInteger accepted = new AtomicInteger();
            Thread acceptor = new Thread(() -> acceptAll(server, accepted), "acceptor");
            acceptor.setDaemon(true);
            acceptor.start();
            String address = "127.0.0.1:" + server.getLocalPort();
            for (int i = 1; i <= CONNECT_ROUNDS; i++) {
                int expected = i;
                CyclicBarrier together = new CyclicBarrier(2);
                Thread other = new Thread(() -> connectTogether(sender, address, together));
                other.start();
                connectTogether(sender, address, together);
                other.join();
                Await.until("a connection is accepted", () -> accepted.get() >= expected);
                sender.retain(List.of());
            }
            Thread.sleep(LATE_ACCEPT_MS);

            assertThat(accepted.get()).isEqualTo(CONNECT_ROUNDS);
        }
    }

    private static void acceptAll(ServerSocket server, AtomicInteger accepted) {
        try {
            while (true) {
                server.accept();
                accepted.incrementAndGet();
            }
        } catch (IOException e) {
            // The socket was closed at the end of the test.
        }
    }

    private static void connectTogether(PeerTransport sender, String address, CyclicBarrier together) {
        try {
            together.await();
        } catch (InterruptedException | BrokenBarrierException e) {
            throw new AssertionError("the other thread did not arrive", e);
        }
        sender.connect(List.of(address));
    }

    /** Sends heartbeats from two threads while the description changes. */
    private static void sendConcurrently(PeerTransport sender, AtomicLong version) throws InterruptedException {
        CountDownLatch start = new CountDownLatch(1);
        Thread other = new Thread(() -> {
            try {
                start.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            sender.heartbeat(List.of());
        });
        other.start();
        start.countDown();
        version.incrementAndGet();
        sender.heartbeat(List.of());
        other.join();
    }
}
