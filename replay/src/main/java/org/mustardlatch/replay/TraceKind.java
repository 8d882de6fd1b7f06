package org.mustardlatch.replay;

import java.util.Locale;

/** Kinds of generated traces. Loads are relative to {@link Capacity}. */
public enum TraceKind {
  /** 60% of capacity. */
  STEADY,
  /** Half of capacity, up to three times capacity within two seconds, and back. */
  SWING,
  /** 70% of capacity; a prefill and a decode engine are four times slower for 30 s. */
  STRAGGLERS,
  /** The load of the straggler trace without the stragglers, for comparison. */
  NO_STRAGGLERS,
  /** 60% of capacity; the second zone of the first region is lost for 25 s. */
  ZONE_LOST,
  /** 130% of the first region's capacity, 40% of the second's; the link between them slows down. */
  LINK_SATURATED,
  /** 80% of capacity; a fifth of the prompts is six times as long as the others. */
  MIXED,
  /** 90% of capacity without a cache; prompts share 100 style notes. */
  PREFIXES,
  /** Load at capacity. */
  CAPACITY,
  /** Constant load at three times capacity. */
  TRIPLE;

  /** Returns the name on the command line, for example {@code zone-lost}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the kind with this name.
   *
   * @throws IllegalArgumentException when there is none
   */
  public static TraceKind named(String name) {
    for (TraceKind k : values()) {
      if (k.wireName().equals(name)) {
        return k;
      }
    }
    throw new IllegalArgumentException("trace kind \"" + name + "\" does not exist");
  }
}
