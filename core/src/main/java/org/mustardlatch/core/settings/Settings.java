package org.mustardlatch.core.settings;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * Settings of one daemon process, as read by {@link SettingsParser}.
 *
 * @param host name of this host
 * @param region region of this host
 * @param zone availability zone of this host
 * @param callerAddress listening address for callers
 * @param operatorAddress listening address for operators and the metrics collector
 * @param peerAddress listening address for other daemons
 * @param drainDelay time from reporting not ready until new requests are refused, on a graceful
 *     stop
 * @param seeds peer addresses of daemons through which to join the fleet; may be empty
 * @param objectServiceUrl base URL of the platform's object service
 * @param peerSecurity transport security of the connections between daemons
 */
public record Settings(
    HostId host,
    RegionId region,
    ZoneId zone,
    SocketAddress callerAddress,
    SocketAddress operatorAddress,
    SocketAddress peerAddress,
    Duration drainDelay,
    List<SocketAddress> seeds,
    URI objectServiceUrl,
    PeerSecurity peerSecurity) {
  /** Makes a defensive copy of the list. */
  public Settings {
    seeds = List.copyOf(seeds);
  }
}
