package org.mustardlatch.gateway.config;

/** The stage of a generation that an engine performs: prefill or decode. */
public enum EngineStage {
  PREFILL,
  DECODE
}
