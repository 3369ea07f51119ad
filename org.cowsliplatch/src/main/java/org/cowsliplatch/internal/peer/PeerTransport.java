package org.cowsliplatch.internal.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.cowsliplatch.errors.EntryStartException;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.util.Addresses;
import org.cowsliplatch.internal.util.Ticker;
import org.cowsliplatch.wire.Frame;
import org.cowsliplatch.wire.HeartbeatAck;
import org.cowsliplatch.wire.Hello;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Transport of messages between entry instances over TCP.
 *
 * <p>Each instance sends on the connections that it opened itself. Every heartbeat is acknowledged on the same
 * connection, so that the sender detects a connection that no longer carries data and replaces it.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close closes the channel, which heartbeat() detects.
public final class PeerTransport implements PeerSender, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PeerTransport.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long SILENCE_TIMEOUT_NANOS = 2_000_000_000L;
    private static final int EVENT_LOOP_THREADS = 2;

    private final Supplier<Member> self;
    private final Ticker ticker;
    private final PeerListener listener;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    private final Map<String, Connection> connections = new ConcurrentHashMap<>();
    private final Map<String, String> addressByName = new ConcurrentHashMap<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private @Nullable Channel server;

    /** State of the outgoing connection to one address; the channel is replaced on reconnect. */
    private static final class Connection {
        volatile @Nullable Channel channel;
        volatile @Nullable Member announcedMember;
        volatile long lastReceivedNanos;
    }

    /**
     * Creates a transport that is not started.
     *
     * @param self description of this entry instance
     * @param ticker clock
     * @param listener receives the messages of peers
     */
    public PeerTransport(Supplier<Member> self, Ticker ticker, PeerListener listener) {
        this.self = self;
        this.ticker = ticker;
        this.listener = listener;
    }

    /**
     * Starts to listen for connections of peers.
     *
     * @return the bound address, with the actual port
     * @throws EntryStartException if the address can't be bound
     */
    public InetSocketAddress start(InetSocketAddress address) throws EntryStartException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initialize(channel, new InboundHandler());
                    }
                });
        try {
            Channel bound = bootstrap.bind(address).sync().channel();
            server = bound;
            return (InetSocketAddress) bound.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new EntryStartException("interrupted while binding peer listener " + Addresses.text(address), e);
        } catch (Exception e) {
            throw new EntryStartException("cannot bind peer listener to " + Addresses.text(address), e);
        }
    }

    /** Opens connections to the addresses that have none. A connection that fails is retried by the next call. */
    public void connect(Collection<String> addresses) {
        for (String address : addresses) {
            Connection connection = connections.computeIfAbsent(address, key -> new Connection());
            // Of two connections opened at once, the peer could read the older description last and keep it.
            synchronized (connection) {
                Channel channel = connection.channel;
                if (channel == null || !channel.isOpen()) {
                    open(address, connection);
                }
            }
        }
    }

    /** Closes the connections to all other addresses. */
    public void retain(Collection<String> addresses) {
        for (String address : List.copyOf(connections.keySet())) {
            if (addresses.contains(address)) {
                continue;
            }
            Connection connection = connections.remove(address);
            if (connection != null) {
                close(connection);
            }
        }
    }

    /** Sets the address to which messages for a peer are sent. */
    public void setPeerAddress(String name, String address) {
        addressByName.put(name, address);
    }

    @Override
    public void send(String member, PeerMessage message) {
        String address = addressByName.get(member);
        Connection connection = address == null ? null : connections.get(address);
        if (connection != null) {
            write(connection, PeerCodec.encode(message));
        }
    }

    /** Sends a heartbeat on every connection, and closes those whose peer has not answered within the time-out. */
    public void heartbeat(List<PeerMessage.GroupReport> loads) {
        Member member = self.get();
        long now = ticker.nanos();
        for (Connection connection : connections.values()) {
            Channel channel = connection.channel;
            if (channel == null || !channel.isActive()) {
                continue;
            }
            if (now - connection.lastReceivedNanos > SILENCE_TIMEOUT_NANOS) {
                close(connection);
                continue;
            }
            sendHeartbeat(connection, member, loads);
        }
    }

    /**
     * Sends a heartbeat on one connection. The lock keeps the recorded description equal to the one sent last when
     * several threads send at once; otherwise the peer could retain an outdated description.
     */
    private void sendHeartbeat(Connection connection, Member member, List<PeerMessage.GroupReport> loads) {
        synchronized (connection) {
            org.cowsliplatch.wire.Heartbeat.Builder heartbeat = PeerCodec.encodeHeartbeatWithoutMember(loads);
            if (!member.equals(connection.announcedMember)) {
                heartbeat.setMember(PeerCodec.encodeMember(member));
                connection.announcedMember = member;
            }
            write(connection, Frame.newBuilder().setHeartbeat(heartbeat).build());
        }
    }

    /** Returns the number of bytes in all frames sent so far. */
    public long sentBytes() {
        return sentBytes.get();
    }

    @Override
    public void close() {
        Channel bound = server;
        if (bound != null) {
            bound.close();
        }
        connections.values().forEach(PeerTransport::close);
        group.shutdownGracefully(0, 500, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    private void open(String address, Connection connection) {
        InetSocketAddress target = Addresses.parse(address).orElse(null);
        if (target == null) {
            LOG.warnf("peer address '%s' is not an IP address with a port; not connecting", address);
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initialize(channel, new OutboundHandler(connection));
                    }
                });
        connection.channel = bootstrap
                .connect(target)
                .addListener(attempt -> {
                    if (!attempt.isSuccess()) {
                        listener.connectionFailed(address);
                    }
                })
                .channel();
    }

    private static void initialize(SocketChannel channel, SimpleChannelInboundHandler<Frame> handler) {
        channel.pipeline()
                .addLast(new FlushConsolidationHandler(64, true))
                .addLast(new ProtobufVarint32FrameDecoder())
                .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(handler);
    }

    private void write(Connection connection, Frame frame) {
        Channel channel = connection.channel;
        if (channel != null && channel.isActive()) {
            sentBytes.addAndGet(frame.getSerializedSize() + 1L);
            channel.writeAndFlush(frame);
        }
    }

    private static void close(Connection connection) {
        Channel channel = connection.channel;
        if (channel != null) {
            channel.close();
        }
    }

    /** Handles a connection that this instance opened: sends its messages and receives the acknowledgements. */
    private final class OutboundHandler extends SimpleChannelInboundHandler<Frame> {
        private final Connection connection;

        OutboundHandler(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            Member member = self.get();
            connection.lastReceivedNanos = ticker.nanos();
            synchronized (connection) {
                connection.announcedMember = member;
                context.write(Frame.newBuilder()
                        .setHello(Hello.newBuilder().setName(member.name()))
                        .build());
                context.writeAndFlush(PeerCodec.encode(new PeerMessage.Heartbeat(member, List.of())));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            connection.lastReceivedNanos = ticker.nanos();
            if (frame.getHeartbeatAck().getMemberWanted()) {
                connection.announcedMember = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Handles a connection that a peer opened: receives its messages and sends the acknowledgements. */
    private final class InboundHandler extends SimpleChannelInboundHandler<Frame> {
        private String peerName = "";

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) throws MalformedFrameException {
            if (frame.hasHello()) {
                peerName = frame.getHello().getName();
            } else if (peerName.isEmpty()) {
                throw new MalformedFrameException("expected Hello as the first frame of the connection", null);
            } else if (frame.hasHeartbeat()) {
                onHeartbeat(context, frame.getHeartbeat());
                if (PeerCodec.hasMessage(frame.getHeartbeat())) {
                    listener.messageReceived(peerName, PeerCodec.decode(frame));
                }
            } else {
                listener.messageReceived(peerName, PeerCodec.decode(frame));
            }
        }

        private void onHeartbeat(ChannelHandlerContext context, org.cowsliplatch.wire.Heartbeat heartbeat) {
            if (heartbeat.hasMember()) {
                listener.memberDescribed(PeerCodec.decodeMember(heartbeat.getMember()));
            }
            boolean known = listener.heartbeatReceived(peerName, PeerCodec.decodeLoads(heartbeat));
            Frame ack = Frame.newBuilder()
                    .setHeartbeatAck(HeartbeatAck.newBuilder().setMemberWanted(!known))
                    .build();
            sentBytes.addAndGet(ack.getSerializedSize() + 1L);
            context.writeAndFlush(ack);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debugf("connection from peer '%s' failed: %s", peerName, cause.getMessage());
            context.close();
        }
    }
}
