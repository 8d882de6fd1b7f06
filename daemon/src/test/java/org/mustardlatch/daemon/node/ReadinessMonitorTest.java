package org.mustardlatch.daemon.node;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.time.VirtualTimerService;

/**
 * Guards against a node that accepts requests before it knows which of them the fleet refuses, and
 * against one that waits for peers that don't exist or don't respond.
 */
class ReadinessMonitorTest {
  private static final Duration SHORT_TIME = ReadinessMonitor.CHECK_PERIOD.multipliedBy(2);

  private final VirtualTimerService timers = new VirtualTimerService();
  private final List<Long> ready = new ArrayList<>();
  private boolean evidenceKnown;
  private boolean onlyNode;
  private final ReadinessMonitor monitor =
      new ReadinessMonitor(timers, () -> evidenceKnown, () -> onlyNode, ready::add);

  @Test
  void nodeWithAManifestWaitsForTheEvidenceOfItsPeers() {
    monitor.start();
    monitor.manifestReady(7);
    timers.advance(ReadinessMonitor.MAX_EVIDENCE_WAIT.minus(SHORT_TIME));
    assertThat(ready).isEmpty();

    evidenceKnown = true;
    timers.advance(SHORT_TIME.dividedBy(2));

    assertThat(ready).containsExactly(7L);
  }

  @Test
  void nodeWithoutAManifestIsNeverReady() {
    evidenceKnown = true;
    onlyNode = true;
    monitor.start();

    timers.advance(ReadinessMonitor.MAX_EVIDENCE_WAIT.multipliedBy(2));

    assertThat(ready).isEmpty();
  }

  @Test
  void onlyNodeDoesNotWait() {
    onlyNode = true;
    monitor.start();
    monitor.manifestReady(7);

    timers.advance(SHORT_TIME);

    assertThat(ready).containsExactly(7L);
  }

  @Test
  void nodeWhosePeersDoNotRespondIsReadyAfterTheLongestWait() {
    monitor.start();
    monitor.manifestReady(7);

    timers.advance(ReadinessMonitor.MAX_EVIDENCE_WAIT.multipliedBy(2));

    assertThat(ready).containsExactly(7L);
  }
}
