package org.mustardlatch.core.ledger;

/** Who writes the record of an attempt. */
public enum StartPath {
  /** The owner of the shard, on another node. */
  OWNER,
  /** This node. */
  DIRECT
}
