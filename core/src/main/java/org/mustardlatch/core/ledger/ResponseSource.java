package org.mustardlatch.core.ledger;

/** The node whose shard writer responded to a start. */
public enum ResponseSource {
  /** The owner of the shard, which is another node. */
  OWNER,
  /** The entry node itself. */
  LOCAL
}
