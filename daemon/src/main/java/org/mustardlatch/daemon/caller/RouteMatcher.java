package org.mustardlatch.daemon.caller;

import java.util.Comparator;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Route;

/** Finds the pass-through route of a request: the one with the longest matching path prefix. */
final class RouteMatcher {
  private RouteMatcher() {}

  /**
   * Returns the route that matches a method and a path.
   *
   * @throws MustardlatchException with {@link ErrorCode#UNKNOWN_ROUTE} if no route matches
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

  /** Returns whether the path equals the prefix or is below it, by whole path segments. */
  private static boolean isPathPrefix(String prefix, String path) {
    return path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
  }
}
