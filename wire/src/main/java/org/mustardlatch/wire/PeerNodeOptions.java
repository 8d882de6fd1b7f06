package org.mustardlatch.wire;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * Options of a node.
 *
 * @param host name of the node; with TLS its certificate must state it
 * @param region its region
 * @param zone its availability zone
 * @param incarnation incarnation of this process, greater than those of earlier processes under the
 *     same host name, for example the wall-clock time of its start in milliseconds
 * @param bind address to listen on; port 0 chooses a free one
 * @param advertised host and port that others connect to; null for the bound address
 * @param seeds peer addresses to join through
 * @param tls files for mutual TLS; null for plain connections, only when {@code bind} is loopback
 *     or the network is private
 * @param group threads to share with other nodes of the process; null to own one thread
 * @param privateNetwork whether the network between the nodes is closed to others, so that plain
 *     connections may leave the host
 */
public record PeerNodeOptions(
    HostId host,
    RegionId region,
    ZoneId zone,
    long incarnation,
    InetSocketAddress bind,
    @Nullable String advertised,
    List<String> seeds,
    @Nullable TlsFiles tls,
    @Nullable EventLoopGroup group,
    boolean privateNetwork) {
  /** Copies the list. */
  public PeerNodeOptions {
    seeds = List.copyOf(seeds);
  }

  /** Creates options of a node whose connections leave the host only with TLS. */
  public PeerNodeOptions(
      HostId host,
      RegionId region,
      ZoneId zone,
      long incarnation,
      InetSocketAddress bind,
      @Nullable String advertised,
      List<String> seeds,
      @Nullable TlsFiles tls,
      @Nullable EventLoopGroup group) {
    this(host, region, zone, incarnation, bind, advertised, seeds, tls, group, false);
  }
}
