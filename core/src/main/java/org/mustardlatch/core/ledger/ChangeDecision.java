package org.mustardlatch.core.ledger;

/**
 * Result of applying one pending change to the cached content of a shard.
 *
 * @param modifiesRecord whether the change modified the record; if so, the response is sent only
 *     after the modified shard was stored
 * @param response the response to the requester of the change
 * @param provisional whether another writer may still change the record, so that the response is
 *     valid only for content that was read after the change was requested
 */
record ChangeDecision(boolean modifiesRecord, ShardCommand response, boolean provisional) {
  static ChangeDecision modified(ShardCommand response) {
    return new ChangeDecision(true, response, false);
  }

  static ChangeDecision definitive(ShardCommand response) {
    return new ChangeDecision(false, response, false);
  }

  static ChangeDecision provisional(ShardCommand response) {
    return new ChangeDecision(false, response, true);
  }
}
