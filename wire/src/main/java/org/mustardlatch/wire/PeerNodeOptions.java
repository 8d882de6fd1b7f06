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
 * @param group threads to share with other nodes of the process; null to own one thread
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
    @Nullable EventLoopGroup group) {
  /** Copies the list. */
  public PeerNodeOptions {
    seeds = List.copyOf(seeds);
  }
}
