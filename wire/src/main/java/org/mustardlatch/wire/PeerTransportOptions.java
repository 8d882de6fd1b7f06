package org.mustardlatch.wire;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;

/**
 * Options of a {@link PeerTransport}.
 *
 * @param host this node
 * @param incarnation returns the current incarnation of this node
 * @param bind address to listen on; port 0 selects a free port
 * @param tls files for mutual TLS; null for plain connections, allowed only if {@code bind} is
 *     loopback or the network is private
 * @param group event loops to share with other transports; null to create one event loop thread
 * @param privateNetwork whether the network between the nodes is closed to outsiders, so that plain
 *     connections to other hosts are allowed
 */
public record PeerTransportOptions(
    HostId host,
    LongSupplier incarnation,
    InetSocketAddress bind,
    @Nullable TlsFiles tls,
    @Nullable EventLoopGroup group,
    boolean privateNetwork) {
  /**
   * Validates the bind address.
   *
   * @throws IllegalArgumentException if {@code bind} is unresolved, or if it is not loopback
   *     although there is neither TLS nor a private network
   */
  public PeerTransportOptions {
    if (bind.isUnresolved()) {
      throw new IllegalArgumentException("peer address " + bind + " does not resolve");
    }
    if (tls == null && !privateNetwork && !bind.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException(
          "peer address " + bind + " is not loopback; connections without TLS stay on loopback");
    }
  }

  /** Creates options of a transport that connects to other hosts only with TLS. */
  public PeerTransportOptions(
      HostId host,
      LongSupplier incarnation,
      InetSocketAddress bind,
      @Nullable TlsFiles tls,
      @Nullable EventLoopGroup group) {
    this(host, incarnation, bind, tls, group, false);
  }
}
