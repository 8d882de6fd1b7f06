package org.mustardlatch.core.manifest;

/** What the routing policy favours where the measures pull in different directions. */
public enum Objective {
  /** Favours goodput and little wasted prefill. */
  WASTE_AVERSE,
  /** Favours service at the crest of a demand swing and a short latency tail. */
  CREST_AVERSE
}
