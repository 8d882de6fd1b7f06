package org.mustardlatch.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;

/** What an engine holds, by kind and attempt. */
final class AllocationTable {
  private final int slots;
  private final int memoryPieces;
  private final Map<Key, Held> held = new LinkedHashMap<>();
  private int highestRunning;

  AllocationTable(int slots, int memoryPieces) {
    this.slots = slots;
    this.memoryPieces = memoryPieces;
  }

  /** Allocates memory and, for a decode, a slot; returns null when there is no room. */
  synchronized @Nullable Held add(Allocation allocation) {
    boolean decode = allocation.kind().equals("decode");
    if ((decode && running() >= slots) || freePieces() < allocation.pieces()) {
      return null;
    }
    Held entry = new Held(allocation, new CountDownLatch(1));
    Held previous = held.put(new Key(allocation.kind(), allocation.attempt()), entry);
    if (previous != null) {
      previous.cancelled.countDown();
    }
    highestRunning = Math.max(highestRunning, running());
    return entry;
  }

  /** Frees this entry, unless another one took its place. */
  synchronized void remove(Held entry) {
    held.remove(new Key(entry.allocation.kind(), entry.allocation.attempt()), entry);
  }

  /** Frees everything of an attempt and wakes its handlers; returns whether there was any. */
  synchronized boolean cancel(String attempt) {
    boolean found = false;
    for (Iterator<Held> all = held.values().iterator(); all.hasNext(); ) {
      Held entry = all.next();
      if (entry.allocation.attempt().equals(attempt)) {
        entry.cancelled.countDown();
        all.remove();
        found = true;
      }
    }
    return found;
  }

  synchronized void clear() {
    held.values().forEach(entry -> entry.cancelled.countDown());
    held.clear();
  }

  synchronized @Nullable Held find(String kind, String attempt) {
    return held.get(new Key(kind, attempt));
  }

  synchronized List<Allocation> list() {
    List<Allocation> all = new ArrayList<>();
    held.values().forEach(entry -> all.add(entry.allocation));
    return all;
  }

  synchronized int running() {
    return (int) held.keySet().stream().filter(key -> !key.kind.equals("kv")).count();
  }

  synchronized int highestRunning() {
    return highestRunning;
  }

  synchronized int freePieces() {
    return memoryPieces - held.values().stream().mapToInt(entry -> entry.allocation.pieces()).sum();
  }

  /** An allocation and the signal that it was cancelled. */
  record Held(Allocation allocation, CountDownLatch cancelled) {}

  private record Key(String kind, String attempt) {}
}
