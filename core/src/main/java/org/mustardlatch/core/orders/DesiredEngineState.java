package org.mustardlatch.core.orders;

import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.UpstreamId;

/**
 * State that the manifest specifies for an engine.
 *
 * @param engine the engine
 * @param pool pool to which the engine belongs
 * @param role role that the engine should have
 * @param weights name of the weights that the engine should serve
 */
public record DesiredEngineState(
    UpstreamId engine, String pool, UpstreamRole role, String weights) {}
