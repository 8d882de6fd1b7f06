package org.mustardlatch.replay;

/** How one try of a call ended for its caller. */
enum Ending {
  /** The whole answer arrived. */
  COMPLETE,
  /** The stream ended with tokens missing or repeated. */
  INCOMPLETE,
  /** The router answered with an error. */
  REFUSED,
  /** The caller went away first. */
  CANCELLED,
  /** The entry node died. */
  NODE_LOST,
  /** No final answer arrived within a second after the final deadline. */
  MISSING
}
