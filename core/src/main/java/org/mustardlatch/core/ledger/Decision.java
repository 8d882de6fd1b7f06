package org.mustardlatch.core.ledger;

/**
 * What a change means for the content of a shard as it was read.
 *
 * @param edits whether the record had to be changed, so that the answer is due when that is stored
 * @param answer the answer of the change
 * @param passing whether the record may change without this writer's doing, so that the answer
 *     needs content that was read after the question
 */
record Decision(boolean edits, ShardCommand answer, boolean passing) {
  static Decision edit(ShardCommand answer) {
    return new Decision(true, answer, false);
  }

  static Decision settled(ShardCommand answer) {
    return new Decision(false, answer, false);
  }

  static Decision passing(ShardCommand answer) {
    return new Decision(false, answer, true);
  }
}
