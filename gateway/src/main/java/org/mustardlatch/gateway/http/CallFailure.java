package org.mustardlatch.gateway.http;

/** Why a call to an upstream ended without a complete response. */
public enum CallFailure {
  /** The connection could not be established; the upstream has not received the request. */
  NOT_SENT,
  /** The connection broke after the upstream may have received the request. */
  BROKEN,
  /** The upstream sent bytes that are not a valid HTTP response, or a response without end. */
  GARBLED
}
