package org.mustardlatch.gateway.config;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * One run of an upstream process, identified by its id, start time and address.
 *
 * @param id name under which the upstream registered; a restarted process may use it again
 * @param startedMillis start time in Unix milliseconds; 0 if not reported
 * @param service name of the service that it belongs to
 * @param address address on which it listens
 * @param zone its availability zone
 * @param slots number of requests that it processes concurrently, at least 1
 * @param leaving whether it is leaving (draining) and must get no new requests
 * @param stage stage of a generation that it performs; null for an application upstream
 */
public record Instance(
    String id,
    long startedMillis,
    String service,
    InetSocketAddress address,
    String zone,
    int slots,
    boolean leaving,
    @Nullable EngineStage stage) {
  /** Returns the same upstream, leaving. */
  public Instance asLeaving() {
    return new Instance(id, startedMillis, service, address, zone, slots, true, stage);
  }

  /** Returns whether both entries describe the same run of the same process. */
  public boolean isSameProcess(Instance other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && address.equals(other.address);
  }
}
