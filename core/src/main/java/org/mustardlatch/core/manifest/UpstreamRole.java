package org.mustardlatch.core.manifest;

/** What an upstream does. */
public enum UpstreamRole {
  /** A model engine that processes prompts. */
  PREFILL,
  /** A model engine that generates tokens. */
  DECODE,
  /** A model engine that does both. */
  MIXED,
  /** A decode engine that can also process the prompt of a request that it decodes itself. */
  DECODE_WITH_PROMPT,
  /** A plain application service. */
  APPLICATION;

  /** Returns whether this upstream processes prompts. */
  public boolean prefills() {
    return this == PREFILL || this == MIXED;
  }

  /** Returns whether this upstream generates tokens. */
  public boolean decodes() {
    return this == DECODE || this == MIXED || this == DECODE_WITH_PROMPT;
  }
}
