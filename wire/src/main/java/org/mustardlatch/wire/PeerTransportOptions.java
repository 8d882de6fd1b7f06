package org.mustardlatch.wire;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;

/**
 * Options of a transport.
 *
 * @param host this node
 * @param incarnation gives the current incarnation of this node
 * @param bind address to listen on; port 0 chooses a free one
 * @param tls files for mutual TLS; null for plain connections, only when {@code bind} is loopback
 * @param group threads to share with other transports; null to own one thread
 * @param privateNetwork whether plain connections may leave the host
 */
public record PeerTransportOptions(
    HostId host,
    LongSupplier incarnation,
    InetSocketAddress bind,
    @Nullable TlsFiles tls,
    @Nullable EventLoopGroup group,
    boolean privateNetwork) {
  /** Checks that plain connections stay on loopback; throws IllegalArgumentException otherwise. */
  public PeerTransportOptions {
    if (bind.isUnresolved()) {
      throw new IllegalArgumentException("peer address " + bind + " does not resolve");
    }
    if (tls == null && !privateNetwork && !bind.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException(
          "peer address " + bind + " is not loopback; connections without TLS stay on loopback");
    }
  }

  /** Creates options of a transport whose connections leave the host only with TLS. */
  public PeerTransportOptions(
      HostId host,
      LongSupplier incarnation,
      InetSocketAddress bind,
      @Nullable TlsFiles tls,
      @Nullable EventLoopGroup group) {
    this(host, incarnation, bind, tls, group, false);
  }
}
