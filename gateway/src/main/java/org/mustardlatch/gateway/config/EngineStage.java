package org.mustardlatch.gateway.config;

/** Which half of a generation an engine does. */
public enum EngineStage {
  PREFILL,
  DECODE
}
