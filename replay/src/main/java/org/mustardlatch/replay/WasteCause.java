package org.mustardlatch.replay;

import java.util.Locale;

/** Why the result of a prefill never led to a completed answer. */
public enum WasteCause {
  /** A decode engine refused and no other took the KV cache in time. */
  DECODE_REFUSED,
  /** The KV cache expired before any transfer of it started. */
  KV_EXPIRED,
  /** The KV cache expired while it was being transferred. */
  TRANSFER_STALLED,
  /** The caller went away. */
  CALLER_GONE,
  /** The prefill engine or the decode engine died. */
  ENGINE_DIED,
  /** Another attempt of the same request was used. */
  HEDGE_LOST,
  /** The router gave the request up, in most cases at a deadline. */
  GIVEN_UP;

  /** Returns the name in reports, for example {@code decode_refused}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
