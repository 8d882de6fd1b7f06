package org.mustardlatch.gateway.http;

/** Why a call to an upstream ended without a whole answer. */
public enum CallFailure {
  /** No connection could be made; the upstream has not seen the request. */
  NOT_SENT,
  /** The connection broke after the request may have been seen. */
  BROKEN,
  /** The upstream sent bytes that are no answer. */
  GARBLED
}
