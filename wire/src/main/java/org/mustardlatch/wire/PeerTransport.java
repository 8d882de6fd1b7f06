package org.mustardlatch.wire;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.wire.generated.PeerProto.Envelope;

/**
 * Sends and receives messages between nodes over TCP, as length-prefixed protobuf frames. Uses
 * mutual TLS if the options contain TLS files; without them, the node must listen on loopback or
 * its network must be private. Delivery is not guaranteed: a message is lost if its connection
 * breaks, if its queue overflows or if it waits too long in the queue. Messages over one connection
 * keep their order. Calls of {@link #start} and {@link #stop} must not overlap; other methods may
 * be called on any thread. The listener is called on event loop threads.
 */
public final class PeerTransport {
  private final PeerTransportOptions options;
  private final PeerListener listener;
  private final Consumer<Throwable> errorHandler;
  private final TransportCounters counters = new TransportCounters();
  private final SocketByteCounter socketByteCounter = new SocketByteCounter(counters);
  private final Map<HostId, Link> linksByHost = new ConcurrentHashMap<>();
  private final Map<String, Link> linksByAddress = new ConcurrentHashMap<>();
  private final Set<PeerChannel> channels = ConcurrentHashMap.newKeySet();
  private final AtomicInteger acceptedChannels = new AtomicInteger();
  private final @Nullable TlsContexts tlsContexts;
  private @Nullable EventLoopGroup ownGroup;
  private volatile @Nullable EventLoopGroup group;
  private @Nullable Future<?> connectionCheck;
  private @Nullable Channel server;
  private long lastCheckNanos;
  private volatile boolean stopped;

  /**
   * Creates a transport; it does nothing before {@link #start}.
   *
   * @param listener receives the messages of other nodes
   * @param errorHandler receives exceptions that indicate a programming error
   * @throws MustardlatchException with code {@code SETTINGS_INVALID} if the TLS files are not
   *     usable
   */
  public PeerTransport(
      PeerTransportOptions options, PeerListener listener, Consumer<Throwable> errorHandler) {
    this.options = options;
    this.listener = listener;
    this.errorHandler = errorHandler;
    this.tlsContexts = options.tls() == null ? null : TlsContexts.load(options.tls());
  }

  /**
   * Starts to listen for connections of other nodes.
   *
   * @return the bound address, with the actual port
   * @throws MustardlatchException with code {@code SETTINGS_INVALID} if the address can't be bound
   */
  public InetSocketAddress start() {
    EventLoopGroup g = options.group();
    if (g == null) {
      g = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      ownGroup = g;
    }
    group = g;
    var bound =
        new ServerBootstrap()
            .group(g)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(null, null))
            .bind(options.bind())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      stop();
      throw new MustardlatchException(
          ErrorCode.SETTINGS_INVALID, "can't listen for peers on " + options.bind(), bound.cause());
    }
    server = bound.channel();
    lastCheckNanos = System.nanoTime();
    long period = TransportLimits.CHECK_PERIOD.toMillis();
    connectionCheck =
        g.next()
            .scheduleWithFixedDelay(this::checkConnections, period, period, TimeUnit.MILLISECONDS);
    return (InetSocketAddress) bound.channel().localAddress();
  }

  /** Closes all connections. Queued messages are lost. */
  public void stop() {
    stopped = true;
    if (connectionCheck != null) {
      connectionCheck.cancel(false);
    }
    if (server != null) {
      server.close().awaitUninterruptibly(1, TimeUnit.SECONDS);
    }
    channels.forEach(PeerChannel::close);
    if (ownGroup != null) {
      ownGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }
  }

  /**
   * Sends a message to a host and opens a connection if there is none. Ignores a message to this
   * node itself.
   *
   * @param address host and port of its listener; null to use the open connection or the address of
   *     an earlier call
   */
  public void send(HostId to, @Nullable String address, PeerMessage message) {
    if (!stopped && !to.equals(options.host())) {
      linksByHost.computeIfAbsent(to, h -> new Link(this, h)).send(address, message);
    }
  }

  /** Sends a message to the node that listens on an address, for example a seed of unknown name. */
  public void sendToAddress(String address, PeerMessage message) {
    if (!stopped) {
      linksByAddress.computeIfAbsent(address, a -> new Link(this, null)).send(address, message);
    }
  }

  /** Closes the connections to a dead or removed host and drops the messages queued for it. */
  public void removeHost(HostId host) {
    linksByHost.remove(host);
    for (PeerChannel c : channels) {
      if (host.equals(c.host())) {
        c.close();
      }
    }
  }

  /** Returns the traffic, connection and refusal counters. */
  public TransportCounters counters() {
    return counters;
  }

  /** Returns the number of open connections, both outbound and accepted. */
  public int connectionCount() {
    return channels.size();
  }

  /** Returns the state for a diagnostic dump: connections and queues by peer. */
  public Map<String, Object> dump() {
    Map<String, Object> links = new LinkedHashMap<>();
    linksByHost.forEach(
        (host, link) ->
            links.put(
                host.value(),
                Map.of(
                    "address", String.valueOf(link.address()),
                    "connected", link.connected(),
                    "queued", link.queuedCount())));
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("tls", tlsContexts != null);
    all.put("connections", channels.size());
    all.put("links", links);
    all.put("counters", counters.snapshot());
    return all;
  }

  HostId host() {
    return options.host();
  }

  long incarnation() {
    return options.incarnation().getAsLong();
  }

  void deliver(HostId from, long incarnation, PeerMessage message) {
    listener.messageReceived(from, incarnation, message);
  }

  void reportUnexpectedError(Throwable error) {
    errorHandler.accept(error);
  }

  /** Returns a random delay between half of the backoff and all of it. */
  long jitteredBackoff(long backoffNanos) {
    return backoffNanos / 2 + ThreadLocalRandom.current().nextLong(backoffNanos / 2 + 1);
  }

  void connect(Link link, String address) {
    EventLoopGroup g = group;
    if (stopped || g == null) {
      return;
    }
    HostAndPort target = HostAndPort.fromString(address);
    counters.connectionsOpened.increment();
    new Bootstrap()
        .group(g)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TransportLimits.CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(initializer(link, target))
        .connect(target.getHost(), target.getPort())
        .addListener(
            f -> {
              if (!f.isSuccess()) {
                counters.connectFailures.increment();
                link.connectFailed();
              }
            });
  }

  void channelOpened(PeerChannel channel) {
    channels.add(channel);
    if (!channel.accepted()) {
      return;
    }
    counters.connectionsAccepted.increment();
    if (acceptedChannels.incrementAndGet() > TransportLimits.MAX_ACCEPTED_CONNECTIONS) {
      counters.countRefusal(FrameRefusal.TOO_MANY_CONNECTIONS);
      channel.close();
    }
  }

  /** Attaches a connection to the link of its peer after the first frame named the peer. */
  void peerIdentified(PeerChannel channel, HostId from) {
    linksByHost.computeIfAbsent(from, h -> new Link(this, h)).attach(channel);
  }

  void channelClosed(PeerChannel channel, @Nullable Link opener) {
    if (channels.remove(channel) && channel.accepted()) {
      acceptedChannels.decrementAndGet();
    }
    if (stopped) {
      return;
    }
    if (opener != null) {
      opener.connectionClosed(channel, true);
    }
    Link link = linkOf(channel);
    if (link != null && link != opener) {
      link.connectionClosed(channel, false);
    }
  }

  void connectionSilent(PeerChannel channel) {
    Link link = linkOf(channel);
    if (link != null) {
      link.connectionSilent(channel);
    }
  }

  void frameReceived(PeerChannel channel) {
    Link link = linkOf(channel);
    if (link != null) {
      link.frameReceived();
    }
  }

  long silenceTimeoutNanos(PeerChannel channel) {
    Link link = linkOf(channel);
    return link == null ? TransportLimits.SILENCE_TIMEOUT_NANOS : link.silenceTimeoutNanos();
  }

  void writabilityChanged(PeerChannel channel) {
    Link link = linkOf(channel);
    if (link != null) {
      link.flushOrConnect();
    }
  }

  private @Nullable Link linkOf(PeerChannel channel) {
    HostId host = channel.host();
    return host == null ? null : linksByHost.get(host);
  }

  private void checkConnections() {
    long now = System.nanoTime();
    boolean delayed = now - lastCheckNanos > TransportLimits.DELAYED_CHECK_NANOS;
    lastCheckNanos = now;
    for (PeerChannel c : new ArrayList<>(channels)) {
      c.runOnEventLoop(() -> c.checkLiveness(now, delayed));
    }
    linksByHost.values().forEach(Link::retryQueued);
    linksByAddress.values().forEach(Link::retryQueued);
  }

  private ChannelInitializer<Channel> initializer(
      @Nullable Link opener, @Nullable HostAndPort target) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        ChannelPipeline p = channel.pipeline();
        p.addLast(socketByteCounter);
        if (tlsContexts != null) {
          SslHandler ssl =
              target == null
                  ? tlsContexts.server().newHandler(channel.alloc())
                  : tlsContexts
                      .client()
                      .newHandler(channel.alloc(), target.getHost(), target.getPort());
          ssl.setHandshakeTimeoutMillis(TransportLimits.HANDSHAKE_TIMEOUT_MILLIS);
          p.addLast(ssl);
        }
        p.addLast(new CountingFrameDecoder(counters));
        p.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
        p.addLast(new LengthFieldPrepender(TransportLimits.LENGTH_PREFIX_BYTES));
        p.addLast(new ProtobufEncoder());
        p.addLast(new PeerChannel(PeerTransport.this, opener));
      }
    };
  }
}
