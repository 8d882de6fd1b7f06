package org.mustardlatch.wire;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.mustardlatch.core.peer.EvidenceMessage;

/**
 * Remembers recent evidence, so that each node forwards a message only once. Called by the tasks of
 * {@link PeerNode} only.
 */
final class EvidenceDeduplicator {
  static final long RETENTION_NANOS = Duration.ofSeconds(60).toNanos();
  static final int MAX_ENTRIES = 4_096;

  private final Map<EvidenceMessage, Long> receivedAt = new LinkedHashMap<>();

  /**
   * Returns whether the message is new and remembers a new message for 60 s. Drops the oldest
   * message earlier if there are {@link #MAX_ENTRIES}.
   */
  boolean addIfNew(EvidenceMessage message, long now) {
    Iterator<Map.Entry<EvidenceMessage, Long>> oldest = receivedAt.entrySet().iterator();
    while (oldest.hasNext()) {
      if (now - oldest.next().getValue() < RETENTION_NANOS && receivedAt.size() < MAX_ENTRIES) {
        break;
      }
      oldest.remove();
    }
    if (message instanceof EvidenceMessage.CrashReport report) {
      // The next time that one of these requests is cleared is no repetition.
      report.running().forEach(f -> receivedAt.remove(new EvidenceMessage.Cleared(f)));
    }
    return receivedAt.putIfAbsent(message, now) == null;
  }

  int size() {
    return receivedAt.size();
  }
}
