package org.mustardlatch.core.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Application that counts its runs. */
final class FakeApplication {
  private final Map<LedgerKey, Integer> runs = new HashMap<>();
  private final Map<LedgerKey, String> answers = new HashMap<>();
  private final Set<String> ran = new HashSet<>();

  String run(Attempt attempt) {
    runs.merge(attempt.key(), 1, Integer::sum);
    ran.add(attempt.nonce());
    String answer = "answer to " + attempt.nonce();
    answers.put(attempt.key(), answer);
    return answer;
  }

  int runs(LedgerKey key) {
    return runs.getOrDefault(key, 0);
  }

  boolean ran(Attempt attempt) {
    return ran.contains(attempt.nonce());
  }

  String answer(LedgerKey key) {
    return answers.getOrDefault(key, "never ran");
  }
}
