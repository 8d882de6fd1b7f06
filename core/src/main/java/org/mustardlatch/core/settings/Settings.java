package org.mustardlatch.core.settings;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * Settings of one daemon process.
 *
 * @param host name of this host
 * @param region its region
 * @param zone its availability zone
 * @param callerAddress where callers connect
 * @param operatorAddress where operators and the metrics collector connect
 * @param peerAddress where other daemons connect
 * @param drainDelay time between readiness off and the refusal of new requests
 * @param seeds peer addresses to join through; may be empty
 * @param objectServiceUrl base URL of the platform's object service
 * @param peerSecurity how connections between daemons are protected
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
  /** Copies the list. */
  public Settings {
    seeds = List.copyOf(seeds);
  }
}
