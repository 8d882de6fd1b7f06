package org.mustardlatch.core.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Application that counts its runs. */
final class FakeApplication {
  private final Map<LedgerKey, Integer> runs = new HashMap<>();
  private final Map<LedgerKey, String> responses = new HashMap<>();
  private final Set<String> executedNonces = new HashSet<>();

  String run(Attempt attempt) {
    runs.merge(attempt.key(), 1, Integer::sum);
    executedNonces.add(attempt.nonce());
    String answer = "answer to " + attempt.nonce();
    responses.put(attempt.key(), answer);
    return answer;
  }

  int runs(LedgerKey key) {
    return runs.getOrDefault(key, 0);
  }

  boolean executedNonces(Attempt attempt) {
    return executedNonces.contains(attempt.nonce());
  }

  String response(LedgerKey key) {
    return responses.getOrDefault(key, "never ran");
  }
}
