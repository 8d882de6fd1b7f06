package org.mustardlatch.core.manifest;

import java.net.URI;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.ZoneId;

/**
 * A back end: a model engine or an application service.
 *
 * @param id name of the upstream
 * @param role what it does
 * @param model the model that an engine serves; null for an application service
 * @param zone its availability zone
 * @param url base URL
 * @param slots requests that it holds at a time
 * @param prefillTokensPerSecond prompt tokens per second of a prefill engine; 0 when it has none
 * @param memoryPieces KV memory of an engine in pieces of the size that the model states; 0 for an
 *     application service
 * @param checksFencing whether it refuses orders with an old fencing token
 * @param leaving whether it must get no new work
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
    boolean leaving) {}
