package org.mustardlatch.core.error;

import java.util.Locale;

/**
 * Stable codes of the errors that are returned to callers and operators. The meaning of a code does
 * not change between releases. The name of a constant in lower case is its code on the wire.
 */
public enum ErrorCode {
  INVALID_ARGUMENT(400),
  MALFORMED_JSON(400),
  UNKNOWN_FIELD(400),
  BODY_TOO_LARGE(413),
  HEADERS_TOO_LARGE(431),
  UNAUTHENTICATED(401),
  UNKNOWN_MODEL(404),
  UNKNOWN_ROUTE(404),
  /** The node has no routing decisions recorded for the request id. */
  UNKNOWN_REQUEST(404),
  PROMPT_TOO_LONG(400),
  RATE_LIMITED(429),
  OVERLOADED(503),
  DRAINING(503),
  NOT_READY(503),
  /** A required write to the object service is not possible; nothing was run or published. */
  STORE_UNAVAILABLE(503),
  UPSTREAM_UNAVAILABLE(503),
  UPSTREAM_FAILED(502),
  DEADLINE_EXCEEDED(504),
  /** Engines crashed while they ran requests with the same content, so it is not run again. */
  REQUEST_QUARANTINED(422),
  /** The idempotency key is older than the retention of the ledger. */
  IDEMPOTENCY_KEY_EXPIRED(422),
  /** The idempotency key was used before for a different request. */
  IDEMPOTENCY_KEY_REUSED(422),
  /** The first request with the same idempotency key has not ended. */
  IN_PROGRESS(409),
  /** The request may have run; it does not run again under the same idempotency key. */
  OUTCOME_UNKNOWN(504),
  MANIFEST_INVALID(422),
  /** The base revision of a publish request is not the latest revision. */
  MANIFEST_CONFLICT(409),
  /** A publish request may or may not have published its manifest. */
  MANIFEST_UNKNOWN(504),
  SETTINGS_INVALID(400),
  INTERNAL(500);

  private final int httpStatus;

  ErrorCode(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /** Returns the HTTP status of a response with this code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the code as it is written in responses, for example {@code unknown_model}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
