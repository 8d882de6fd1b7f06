package org.mustardlatch.core.peer;

/** Messages that distribute the manifest (the configuration of the fleet). */
public sealed interface RolloutMessage extends PeerMessage {
  /**
   * Offers the active revision of the sender.
   *
   * @param digest SHA-256 of the text, lower-case hexadecimal
   */
  record ConfigOffer(long revision, String digest) implements RolloutMessage {}

  /** Requests the text of a revision or of a later one. */
  record ConfigFetch(long revision) implements RolloutMessage {}

  /** Carries the text of a revision. */
  record ConfigBody(long revision, String text) implements RolloutMessage {}

  /** Reports that the sender has activated this revision. */
  record ConfigApplied(long revision) implements RolloutMessage {}
}
