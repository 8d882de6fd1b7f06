package org.mustardlatch.core.orders;

import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.UpstreamId;

/**
 * What the manifest wants of an engine.
 *
 * @param engine the engine
 * @param pool the pool to which it belongs
 * @param role role that it should have
 * @param weights name of the weights that it should serve
 */
public record EngineGoal(UpstreamId engine, String pool, UpstreamRole role, String weights) {}
