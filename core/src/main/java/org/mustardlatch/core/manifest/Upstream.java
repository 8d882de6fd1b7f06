package org.mustardlatch.core.manifest;

import java.net.URI;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.ZoneId;

/**
 * An upstream: a model engine or an application service.
 *
 * @param id name of the upstream
 * @param role work that the upstream does
 * @param model the model that an engine serves; null for an application service
 * @param zone availability zone of the upstream
 * @param url base URL
 * @param slots number of requests that the upstream runs concurrently
 * @param prefillTokensPerSecond prefill throughput, prompt tokens per second; 0 if the upstream
 *     does no prefill
 * @param memoryPieces KV cache memory of an engine in pieces of {@link Model#memoryPieceTokens}; 0
 *     for an application service
 * @param checksFencing whether the upstream refuses requests with an outdated fencing token
 * @param leaving whether the upstream is leaving (draining) and must receive no new work
 * @param softwareVersion version of the software of an engine; null if not stated. A generation
 *     that has begun at one version can't go on at another
 */
public record Upstream(
    UpstreamId id,
    UpstreamRole role,
    @Nullable ModelId model,
    ZoneId zone,
    URI url,
    int slots,
    int prefillTokensPerSecond,
    int memoryPieces,
    boolean checksFencing,
    boolean leaving,
    @Nullable String softwareVersion) {
  /** Creates an upstream that does not state the version of its software. */
  public Upstream(
      UpstreamId id,
      UpstreamRole role,
      @Nullable ModelId model,
      ZoneId zone,
      URI url,
      int slots,
      int prefillTokensPerSecond,
      int memoryPieces,
      boolean checksFencing,
      boolean leaving) {
    this(
        id,
        role,
        model,
        zone,
        url,
        slots,
        prefillTokensPerSecond,
        memoryPieces,
        checksFencing,
        leaving,
        null);
  }
}
