package org.mustardlatch.daemon.upstream;

import java.util.function.LongSupplier;
import org.mustardlatch.core.model.HostId;

/**
 * Names this node at engines, so that what they hold for it can be found and freed.
 *
 * @param host this node
 * @param incarnation returns its current incarnation
 */
public record AttemptOwner(HostId host, LongSupplier incarnation) {
  /** Returns the value of {@code X-Router-Incarnation}. */
  String headerValue() {
    return host + "/" + incarnation.getAsLong();
  }
}
