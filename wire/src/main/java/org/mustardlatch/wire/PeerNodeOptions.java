package org.mustardlatch.wire;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * Options of a {@link PeerNode}.
 *
 * @param host name of the node; with TLS, its certificate must contain it
 * @param region region of the node
 * @param zone availability zone of the node
 * @param incarnation incarnation of this process, greater than those of earlier processes under the
 *     same host name, for example the wall-clock time of its start in milliseconds
 * @param bind address to listen on; port 0 selects a free port
 * @param advertised host and port that other nodes connect to; null for the bound address
 * @param seeds addresses of peers that the node contacts to join the fleet
 * @param tls files for mutual TLS; null for plain connections, allowed only if {@code bind} is
 *     loopback or the network is private
 * @param group event loops to share with other nodes of the process; null to create one event loop
 *     thread
 * @param privateNetwork whether the network between the nodes is closed to outsiders, so that plain
 *     connections to other hosts are allowed
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
  /** Copies the list of seeds. */
  public PeerNodeOptions {
    seeds = List.copyOf(seeds);
  }

  /** Creates options of a node that connects to other hosts only with TLS. */
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
