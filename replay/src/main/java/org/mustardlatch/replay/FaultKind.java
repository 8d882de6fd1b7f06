package org.mustardlatch.replay;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Kinds of faults in a trace. */
public enum FaultKind {
  /** An upstream is slower by a factor. */
  STRAGGLER,
  /** An upstream process dies and comes back empty. */
  UPSTREAM_DEATH,
  /** A link carries nothing. */
  LINK_CUT,
  /** The rate of a link falls by a factor. */
  LINK_SLOWDOWN,
  /** All hosts of an availability zone go silent and come back empty. */
  ZONE_LOST,
  /** The regions cannot reach each other. */
  REGION_SPLIT,
  /** A node of the router dies and is replaced by a new process. */
  NODE_DEATH;

  /** Returns the name in trace files, for example {@code upstream_death}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  static Optional<FaultKind> of(String wireName) {
    return Arrays.stream(values()).filter(k -> k.wireName().equals(wireName)).findFirst();
  }
}
