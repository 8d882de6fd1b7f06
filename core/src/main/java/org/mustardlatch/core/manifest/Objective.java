package org.mustardlatch.core.manifest;

/** What the routing policy optimizes for where its performance measures conflict. */
public enum Objective {
  /** Maximizes goodput and minimizes wasted prefill work. */
  WASTE_AVERSE,
  /** Maximizes service during load peaks and minimizes tail latency. */
  CREST_AVERSE
}
