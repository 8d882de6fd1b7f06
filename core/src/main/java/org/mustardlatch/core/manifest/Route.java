package org.mustardlatch.core.manifest;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.UpstreamId;

/**
 * A pass-through route from a path prefix to application services.
 *
 * @param path path prefix; starts with a slash
 * @param methods HTTP methods in upper case
 * @param upstreams application services that may receive the calls
 * @param idempotent whether a call may be repeated; false unless the manifest sets it
 * @param outcomePath path on the upstream that returns the outcome of the call with a given
 *     idempotency key; null if the upstream has none
 */
public record Route(
    String path,
    Set<String> methods,
    List<UpstreamId> upstreams,
    boolean idempotent,
    @Nullable String outcomePath) {
  /** Makes defensive copies of the collections. */
  public Route {
    methods = Set.copyOf(methods);
    upstreams = List.copyOf(upstreams);
  }
}
