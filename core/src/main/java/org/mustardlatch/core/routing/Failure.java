package org.mustardlatch.core.routing;

/** Why an attempt on an upstream failed. */
public enum Failure {
  /** The upstream refused the work and did not start it. */
  REFUSED,
  /** The upstream process died while it held the work. */
  CRASHED,
  /** No progress within the progress deadline. */
  STALLED,
  /** The connection broke; the upstream may still be alive. */
  DISCONNECTED,
  /** The exported KV cache was gone when the decode engine asked for it. */
  KV_EXPIRED,
  /** The final deadline passed. */
  TIMED_OUT
}
