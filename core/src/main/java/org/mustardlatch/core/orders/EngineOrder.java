package org.mustardlatch.core.orders;

import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.UpstreamId;

/**
 * An order. It states the desired end state, so that repeating it is harmless.
 *
 * @param engine who gets it
 * @param kind which part of the state it is about
 * @param role desired role
 * @param weights desired weights
 * @param revision revision of the manifest that wants it
 */
public record EngineOrder(
    UpstreamId engine, Kind kind, UpstreamRole role, String weights, long revision) {
  /** Part of the state. */
  public enum Kind {
    /** Take no new work, as the first step of a role change. */
    DRAIN,
    /** Change the role; sent to a drained engine only. */
    SET_ROLE,
    /** Load weights. */
    LOAD_WEIGHTS
  }
}
