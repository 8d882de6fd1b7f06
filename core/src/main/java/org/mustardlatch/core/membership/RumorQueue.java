package org.mustardlatch.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.MembershipMessage.Rumor;

/** Rumors that still have to be passed on, the least often sent first. */
final class RumorQueue {
  private static final class Entry {
    final Rumor rumor;
    int timesSent;

    Entry(Rumor rumor) {
      this.rumor = rumor;
    }
  }

  private final Map<HostId, Entry> entries = new LinkedHashMap<>();

  /** Adds a rumor; replaces an earlier one about the same host. */
  void add(Rumor rumor) {
    entries.put(rumor.host(), new Entry(rumor));
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  /** Returns the rumors for one message and counts them as sent. */
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

  /** Returns how often each node sends a rumor in a fleet of this size. */
  static int maxTransmissions(int fleetSize) {
    int log = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, fleetSize));
    return MembershipConstants.RETRANSMIT_FACTOR * log;
  }
}
