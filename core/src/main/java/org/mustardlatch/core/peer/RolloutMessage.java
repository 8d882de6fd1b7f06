package org.mustardlatch.core.peer;

/** Messages that spread the manifest. */
public sealed interface RolloutMessage extends PeerMessage {
  /**
   * The sender has this revision in force.
   *
   * @param digest SHA-256 of the text, lower-case hexadecimal
   */
  record ConfigOffer(long revision, String digest) implements RolloutMessage {}

  /** Asks for the text of a revision, or of a later one. */
  record ConfigFetch(long revision) implements RolloutMessage {}

  /** The text of a revision. */
  record ConfigBody(long revision, String text) implements RolloutMessage {}

  /** The sender now has this revision in force. */
  record ConfigApplied(long revision) implements RolloutMessage {}
}
