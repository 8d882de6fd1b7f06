package org.mustardlatch.wire;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage.Cleared;
import org.mustardlatch.core.peer.EvidenceMessage.CrashReport;

/** Guards against news that is dropped because it equals an earlier message. */
class EvidenceDeduplicatorTest {
  private static final Fingerprint REQUEST = new Fingerprint("a".repeat(64));

  private final EvidenceDeduplicator deduplicator = new EvidenceDeduplicator();

  private static CrashReport crash(String id) {
    return new CrashReport(new UpstreamId("u"), id, List.of(REQUEST));
  }

  @Test
  void repetitionIsNotNew() {
    assertThat(deduplicator.addIfNew(crash("c1"), 0)).isTrue();
    assertThat(deduplicator.addIfNew(crash("c1"), 1)).isFalse();
  }

  @Test
  void requestThatIsClearedAgainAfterAnotherCrashIsNews() {
    deduplicator.addIfNew(crash("c1"), 0);
    assertThat(deduplicator.addIfNew(new Cleared(REQUEST), 1)).isTrue();
    assertThat(deduplicator.addIfNew(new Cleared(REQUEST), 2)).isFalse();

    deduplicator.addIfNew(crash("c2"), 3);
    assertThat(deduplicator.addIfNew(new Cleared(REQUEST), 4)).isTrue();
  }
}
