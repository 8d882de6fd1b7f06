package org.mustardlatch.core.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Application that counts the runs of each key. */
final class FakeApplication {
  private final Map<LedgerKey, Integer> runCounts = new HashMap<>();
  private final Map<LedgerKey, String> responses = new HashMap<>();
  private final Set<String> executedNonces = new HashSet<>();

  String run(Attempt attempt) {
    runCounts.merge(attempt.key(), 1, Integer::sum);
    executedNonces.add(attempt.nonce());
    String response = "response to " + attempt.nonce();
    responses.put(attempt.key(), response);
    return response;
  }

  int runs(LedgerKey key) {
    return runCounts.getOrDefault(key, 0);
  }

  boolean hasRun(Attempt attempt) {
    return executedNonces.contains(attempt.nonce());
  }

  String response(LedgerKey key) {
    return responses.getOrDefault(key, "never ran");
  }
}
