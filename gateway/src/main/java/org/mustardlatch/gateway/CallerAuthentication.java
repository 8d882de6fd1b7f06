package org.mustardlatch.gateway;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.GatewayRoute;
import org.mustardlatch.gateway.config.GatewayWorkspace;

/**
 * Decides by the API key of a request whether it may be handled and for which workspace. Stateless;
 * one map lookup for each request. No result contains the key.
 */
final class CallerAuthentication {
  private CallerAuthentication() {}

  /** The decision on a request. */
  sealed interface Result {
    /**
     * The request may be handled.
     *
     * @param workspace workspace of the key; null on a public route without a valid key, and if the
     *     configuration has no workspaces
     * @param identity what upstreams receive as the identity of the caller; null if the
     *     configuration has no workspaces
     */
    record Accepted(@Nullable GatewayWorkspace workspace, @Nullable CallerIdentity identity)
        implements Result {}

    /** The request is refused; the reason is the same for all keys. */
    record Rejected(ErrorCode code, String reason) implements Result {}
  }

  /**
   * Checks a key.
   *
   * @param key key that the request carries; null if it carries none
   * @param storeReachable whether this node would know of a key that was added; if not, an unknown
   *     key may be valid at another node
   */
  static Result check(
      GatewayConfiguration configuration,
      GatewayRoute route,
      @Nullable String key,
      boolean storeReachable) {
    if (!configuration.hasWorkspaces()) {
      return new Result.Accepted(null, null);
    }
    GatewayWorkspace workspace = key == null ? null : configuration.findWorkspace(key);
    if (workspace != null || route.isPublic()) {
      String name = workspace == null ? null : workspace.name();
      return new Result.Accepted(workspace, new CallerIdentity(name));
    }
    if (key == null || key.isEmpty()) {
      return new Result.Rejected(ErrorCode.UNAUTHENTICATED, "an API key is required");
    }
    return storeReachable
        ? new Result.Rejected(ErrorCode.UNAUTHENTICATED, "the API key is not known")
        : new Result.Rejected(
            ErrorCode.NOT_READY, "the API key is not known and the store can't be read");
  }
}
