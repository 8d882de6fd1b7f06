package org.mustardlatch.daemon;

import org.mustardlatch.core.routing.RoutingPolicy;
import org.mustardlatch.core.settings.Settings;

/** Makes the routing policy of a node. */
final class RoutingPolicies {
  private RoutingPolicies() {}

  static RoutingPolicy create(Settings settings) {
    return new DirectPolicy();
  }
}
