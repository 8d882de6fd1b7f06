package org.mustardlatch.core.manifest;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.UpstreamId;

/**
 * A pass-through route to application services.
 *
 * @param path path prefix, starts with a slash
 * @param methods HTTP methods in upper case
 * @param upstreams where calls may go
 * @param idempotent whether a call may be repeated; false unless the manifest says otherwise
 * @param outcomePath path on the upstream that tells the outcome of a key; null when it has none
 */
public record Route(
    String path,
    Set<String> methods,
    List<UpstreamId> upstreams,
    boolean idempotent,
    @Nullable String outcomePath) {
  /** Copies the collections. */
  public Route {
    methods = Set.copyOf(methods);
    upstreams = List.copyOf(upstreams);
  }
}
