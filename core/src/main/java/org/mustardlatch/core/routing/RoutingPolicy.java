package org.mustardlatch.core.routing;

import java.util.function.Consumer;

/**
 * The routing decisions of one node. The daemon and the replay drive implementations in the same
 * way: one event at a time, from one thread, with monotonic time that never goes back.
 */
public interface RoutingPolicy {
  /**
   * Takes one event and emits what must be done about it.
   *
   * @param event what happened
   * @param nowNanos monotonic time of this node, nanoseconds
   * @param out receives commands in the order in which they must be carried out
   */
  void handle(RoutingEvent event, long nowNanos, Consumer<RoutingCommand> out);
}
