package org.mustardlatch.replay;

import java.util.random.RandomGenerator;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.routing.RoutingPolicy;

/** Makes the routing decisions of one node. */
@FunctionalInterface
public interface PolicyFactory {
  /**
   * Returns a new instance for a node that starts.
   *
   * @param self the node
   * @param random seeded generator of this node
   */
  RoutingPolicy create(Member self, RandomGenerator random);
}
