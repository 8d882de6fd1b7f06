package org.mustardlatch.core.routing;

import java.util.function.Consumer;

/**
 * Makes the routing decisions of one node. The daemon and the replay call implementations in the
 * same way: one event at a time, from one thread, with monotonic time that never decreases.
 */
public interface RoutingPolicy {
  /**
   * Handles one event and emits the resulting commands.
   *
   * @param event event to handle
   * @param nowNanos monotonic time of this node, nanoseconds
   * @param out receives the commands in the order in which they must be executed
   */
  void handle(RoutingEvent event, long nowNanos, Consumer<RoutingCommand> out);
}
