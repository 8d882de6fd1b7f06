package org.mustardlatch.gateway.config;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Identifiers;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.ZoneId;

/**
 * One run of an upstream process, identified by its id, start time and address.
 *
 * @param id name under which the upstream registered, of any characters; a restarted process may
 *     use it again
 * @param startedMillis start time in Unix milliseconds; 0 if not reported
 * @param service name of the service that it belongs to
 * @param address address on which it listens
 * @param zone its availability zone
 * @param slots number of requests that it processes concurrently, at least 1
 * @param leaving whether it is leaving (draining) and must get no new requests
 * @param stage stage of a generation that it performs; null for an application upstream
 * @param softwareVersion version of its software, of any form; null if not stated
 */
public record Instance(
    String id,
    long startedMillis,
    String service,
    InetSocketAddress address,
    String zone,
    int slots,
    boolean leaving,
    @Nullable EngineStage stage,
    @Nullable String softwareVersion) {
  /** Creates an upstream that does not state the version of its software. */
  public Instance(
      String id,
      long startedMillis,
      String service,
      InetSocketAddress address,
      String zone,
      int slots,
      boolean leaving,
      @Nullable EngineStage stage) {
    this(id, startedMillis, service, address, zone, slots, leaving, stage, null);
  }

  /** Returns the identifier of the upstream in routing decisions and messages to peers. */
  public UpstreamId upstreamId() {
    return new UpstreamId(Identifiers.of(id));
  }

  /** Returns the identifier of its availability zone. */
  public ZoneId zoneId() {
    return new ZoneId(Identifiers.of(zone));
  }

  /** Returns the same upstream, leaving. */
  public Instance asLeaving() {
    return new Instance(
        id, startedMillis, service, address, zone, slots, true, stage, softwareVersion);
  }

  /** Returns whether both entries describe the same run of the same process. */
  public boolean isSameProcess(Instance other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && address.equals(other.address);
  }
}
