package org.mustardlatch.core.manifest;

/** The kind of work that an upstream does. */
public enum UpstreamRole {
  /** A model engine that processes prompts. */
  PREFILL,
  /** A model engine that generates tokens. */
  DECODE,
  /** A model engine that both processes prompts and generates tokens. */
  MIXED,
  /**
   * A decode engine that can also process prompts, but only those of requests that it decodes
   * itself. The gateway sets this role; the TOML form of a manifest has no value for it.
   */
  DECODE_WITH_PROMPT,
  /** An application service, which runs no model. */
  APPLICATION;

  /** Returns whether an upstream of this role processes prompts for any decode engine. */
  public boolean prefills() {
    return this == PREFILL || this == MIXED;
  }

  /** Returns whether an upstream of this role generates tokens. */
  public boolean decodes() {
    return this == DECODE || this == MIXED || this == DECODE_WITH_PROMPT;
  }
}
