package org.mustardlatch.wire;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.mustardlatch.core.peer.EvidenceMessage;

/** Which evidence was passed on already, so that each node passes it on once. */
final class EvidenceFlood {
  static final long MEMORY_NANOS = Duration.ofSeconds(60).toNanos();
  static final int LIMIT = 4_096;

  private final Map<EvidenceMessage, Long> seen = new LinkedHashMap<>();

  /** Returns whether the message is new, and remembers it for 60 s. */
  boolean isNew(EvidenceMessage message, long now) {
    Iterator<Map.Entry<EvidenceMessage, Long>> oldest = seen.entrySet().iterator();
    while (oldest.hasNext()) {
      if (now - oldest.next().getValue() < MEMORY_NANOS && seen.size() < LIMIT) {
        break;
      }
      oldest.remove();
    }
    return seen.putIfAbsent(message, now) == null;
  }

  int size() {
    return seen.size();
  }
}
