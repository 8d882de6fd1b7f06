package org.mustardlatch.daemon.upstream;

import java.util.function.LongSupplier;
import org.mustardlatch.core.model.HostId;

/**
 * Identifies this node to engines as the owner of its attempts, so that KV cache and slots in use
 * for a dead node or an earlier incarnation of a node can be found and freed.
 *
 * @param host this node
 * @param incarnation supplies the current incarnation of this node
 */
public record AttemptOwner(HostId host, LongSupplier incarnation) {
  /** Returns the value of the header {@code X-Router-Incarnation}. */
  String headerValue() {
    return host + "/" + incarnation.getAsLong();
  }
}
