package org.mustardlatch.daemon.caller;

import java.util.Comparator;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Route;

/** Finds the pass-through route of a call: the one with the longest path that covers it. */
final class RouteMatcher {
  private RouteMatcher() {}

  /**
   * Returns the route.
   *
   * @throws MustardlatchException with {@link ErrorCode#UNKNOWN_ROUTE} when there is none
   */
  static Route find(Manifest manifest, String method, String path) {
    return manifest.routes().stream()
        .filter(r -> isPathPrefix(r.path(), path) && r.methods().contains(method))
        .max(Comparator.comparingInt(r -> r.path().length()))
        .orElseThrow(
            () ->
                new MustardlatchException(
                    ErrorCode.UNKNOWN_ROUTE, "no route for %s %s".formatted(method, path)));
  }

  private static boolean isPathPrefix(String prefix, String path) {
    return path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
  }
}
