package org.mustardlatch.core.orders;

import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.UpstreamId;

/**
 * Order to an engine. It states the desired end state, so that repeating it has no further effect.
 *
 * @param engine the engine that receives the order
 * @param kind the part of the engine's state that the order changes
 * @param role desired role; for {@link Kind#LOAD_WEIGHTS} the current role of the engine
 * @param weights desired weights
 * @param revision revision of the manifest from which the order results
 */
public record EngineOrder(
    UpstreamId engine, Kind kind, UpstreamRole role, String weights, long revision) {
  /** Change that an order requests. */
  public enum Kind {
    /** Accept no new requests; the first step of a role change. */
    DRAIN,
    /** Change the role; sent only to a drained engine. */
    SET_ROLE,
    /** Load the desired weights. */
    LOAD_WEIGHTS
  }
}
