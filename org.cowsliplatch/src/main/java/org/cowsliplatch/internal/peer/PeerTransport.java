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
 * Connections between entry instances.
 *
 * <p>Each sends on connections that it opened itself. Every heartbeat is acknowledged on its connection, so one
 * that has gone silent is noticed by its sender and replaced.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close ends the channel, which is noticed.
public final class PeerTransport implements PeerSender, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PeerTransport.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long SILENT_NANOS = 2_000_000_000L;
    private static final int THREADS = 2;

    private final Supplier<Member> self;
    private final Ticker ticker;
    private final PeerListener listener;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final Map<String, String> addressOfName = new ConcurrentHashMap<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private @Nullable Channel server;

    /** One connection that this entry instance opened. */
    private static final class Link {
        volatile @Nullable Channel channel;
        volatile @Nullable Member described;
        volatile long heardNanos;
    }

    /**
     * Creates a transport that is not started.
     *
     * @param self description of this entry instance
     * @param ticker clock
     * @param listener told of what peers say
     */
    public PeerTransport(Supplier<Member> self, Ticker ticker, PeerListener listener) {
        this.self = self;
        this.ticker = ticker;
        this.listener = listener;
    }

    /**
     * Begins to listen.
     *
     * @return the address, with the port that was bound
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
                        initialize(channel, new Inbound());
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
            throw new EntryStartException("peer listener can't be bound to " + Addresses.text(address), e);
        }
    }

    /** Opens connections to addresses that have none; those that failed are tried again by the next call. */
    public void connect(Collection<String> addresses) {
        for (String address : addresses) {
            Link link = links.computeIfAbsent(address, key -> new Link());
            Channel channel = link.channel;
            if (channel == null || !channel.isOpen()) {
                open(address, link);
            }
        }
    }

    /** Closes connections to addresses that are no longer of interest. */
    public void retain(Collection<String> addresses) {
        for (String address : List.copyOf(links.keySet())) {
            if (addresses.contains(address)) {
                continue;
            }
            Link link = links.remove(address);
            if (link != null) {
                close(link);
            }
        }
    }

    /** Notes the address of a peer. */
    public void setPeerAddress(String name, String address) {
        addressOfName.put(name, address);
    }

    @Override
    public void send(String member, PeerMessage message) {
        String address = addressOfName.get(member);
        Link link = address == null ? null : links.get(address);
        if (link != null) {
            write(link, PeerCodec.encode(message));
        }
    }

    /** Sends a sign of life on every connection, and replaces those that have gone silent. */
    public void heartbeat(List<PeerMessage.GroupReport> loads) {
        Member member = self.get();
        long now = ticker.nanos();
        for (Link link : links.values()) {
            Channel channel = link.channel;
            if (channel == null || !channel.isActive()) {
                continue;
            }
            if (now - link.heardNanos > SILENT_NANOS) {
                close(link);
                continue;
            }
            beat(link, member, loads);
        }
    }

    /**
     * Sends a sign of life on one connection. What was last described and what was last sent must be the same, also
     * when several threads send at once; else a peer would keep an old description.
     */
    private void beat(Link link, Member member, List<PeerMessage.GroupReport> loads) {
        synchronized (link) {
            org.cowsliplatch.wire.Heartbeat.Builder heartbeat = PeerCodec.encodeHeartbeatWithoutMember(loads);
            if (!member.equals(link.described)) {
                heartbeat.setMember(PeerCodec.encodeMember(member));
                link.described = member;
            }
            write(link, Frame.newBuilder().setHeartbeat(heartbeat).build());
        }
    }

    /** Returns the bytes of all frames sent so far. */
    public long sentBytes() {
        return sentBytes.get();
    }

    @Override
    public void close() {
        Channel bound = server;
        if (bound != null) {
            bound.close();
        }
        links.values().forEach(PeerTransport::close);
        group.shutdownGracefully(0, 500, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    private void open(String address, Link link) {
        InetSocketAddress target = Addresses.parse(address).orElse(null);
        if (target == null) {
            LOG.warnf("peer address '%s' is no IP number and port", address);
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
                        initialize(channel, new Outbound(link));
                    }
                });
        link.channel = bootstrap.connect(target).channel();
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

    private void write(Link link, Frame frame) {
        Channel channel = link.channel;
        if (channel != null && channel.isActive()) {
            sentBytes.addAndGet(frame.getSerializedSize() + 1L);
            channel.writeAndFlush(frame);
        }
    }

    private static void close(Link link) {
        Channel channel = link.channel;
        if (channel != null) {
            channel.close();
        }
    }

    /** Our end of a connection that we opened: carries our messages out and acknowledgements back. */
    private final class Outbound extends SimpleChannelInboundHandler<Frame> {
        private final Link link;

        Outbound(Link link) {
            this.link = link;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            Member member = self.get();
            link.heardNanos = ticker.nanos();
            synchronized (link) {
                link.described = member;
                context.write(Frame.newBuilder()
                        .setHello(Hello.newBuilder().setName(member.name()))
                        .build());
                context.writeAndFlush(PeerCodec.encode(new PeerMessage.Heartbeat(member, List.of())));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            link.heardNanos = ticker.nanos();
            if (frame.getHeartbeatAck().getMemberWanted()) {
                link.described = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Our end of a connection that a peer opened: carries its messages in and acknowledgements back. */
    private final class Inbound extends SimpleChannelInboundHandler<Frame> {
        private String name = "";

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) throws MalformedFrameException {
            if (frame.hasHello()) {
                name = frame.getHello().getName();
            } else if (name.isEmpty()) {
                throw new MalformedFrameException("the first frame is no hello", null);
            } else if (frame.hasHeartbeat()) {
                onHeartbeat(context, frame.getHeartbeat());
            } else {
                listener.messageReceived(name, PeerCodec.decode(frame));
            }
        }

        private void onHeartbeat(ChannelHandlerContext context, org.cowsliplatch.wire.Heartbeat heartbeat) {
            if (heartbeat.hasMember()) {
                listener.memberDescribed(PeerCodec.decodeMember(heartbeat.getMember()));
            }
            boolean known = listener.heartbeatReceived(name, PeerCodec.decodeLoads(heartbeat));
            Frame ack = Frame.newBuilder()
                    .setHeartbeatAck(HeartbeatAck.newBuilder().setMemberWanted(!known))
                    .build();
            sentBytes.addAndGet(ack.getSerializedSize() + 1L);
            context.writeAndFlush(ack);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debugf("connection of peer '%s' failed: %s", name, cause.getMessage());
            context.close();
        }
    }
}
