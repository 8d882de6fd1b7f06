package org.mustardlatch.gateway.config;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * One start of an upstream process.
 *
 * @param id name under which the upstream registered; two starts may share it
 * @param startedMillis when it started, Unix milliseconds; 0 when it does not say
 * @param service the service that it belongs to
 * @param address where it listens
 * @param zone its availability zone
 * @param slots requests that it works on at a time, at least 1
 * @param leaving whether it must get no new work
 * @param stage which half of a generation it does; null for an application upstream
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
  /** Returns whether both are the same start of the same process. */
  public boolean isSameProcess(Instance other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && address.equals(other.address);
  }
}
