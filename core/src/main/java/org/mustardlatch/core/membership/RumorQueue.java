package org.mustardlatch.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.MembershipMessage.Rumor;

/** Queue of rumors that this node still has to send; the least often sent have priority. */
final class RumorQueue {
  private static final class Entry {
    final Rumor rumor;
    int timesSent;

    Entry(Rumor rumor) {
      this.rumor = rumor;
    }
  }

  private final Map<HostId, Entry> entries = new LinkedHashMap<>();

  /** Adds a rumor, replacing an earlier one about the same host. */
  void add(Rumor rumor) {
    entries.put(rumor.host(), new Entry(rumor));
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  /**
   * Returns at most {@code max} rumors for one message, counts them as sent and drops those that
   * were sent often enough.
   */
  List<Rumor> take(int max, int fleetSize) {
    if (entries.isEmpty()) {
      return new ArrayList<>();
    }
    List<Entry> chosen = new ArrayList<>(entries.values());
    if (chosen.size() > max) {
      chosen.sort(Comparator.comparingInt(e -> e.timesSent));
      chosen = chosen.subList(0, max);
    }
    int limit = maxTransmissions(fleetSize);
    List<Rumor> rumors = new ArrayList<>(chosen.size() + 2);
    for (Entry e : chosen) {
      rumors.add(e.rumor);
      if (++e.timesSent >= limit) {
        entries.remove(e.rumor.host());
      }
    }
    return rumors;
  }

  /** Returns how many times each node sends a rumor in a fleet of this size. */
  static int maxTransmissions(int fleetSize) {
    int log = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, fleetSize));
    return MembershipConstants.RETRANSMIT_FACTOR * log;
  }
}
