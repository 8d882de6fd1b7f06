package org.mustardlatch.core.routing;

/** Reason for which an upstream call of an attempt failed. */
public enum Failure {
  /** The upstream refused the work and did not start it. */
  REFUSED,
  /** The upstream process crashed while it had the work. */
  CRASHED,
  /** The upstream made no progress within the progress deadline. */
  STALLED,
  /** The connection broke; the upstream may still be alive. */
  DISCONNECTED,
  /** The exported KV cache had expired when the decode engine fetched it. */
  KV_EXPIRED,
  /** The final deadline passed. */
  TIMED_OUT
}
