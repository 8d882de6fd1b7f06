package org.mustardlatch.gateway.http;

/** Takes requests of callers. */
public interface CallerHandler {
  /**
   * Takes a whole request. The exchange must get exactly one answer or be aborted, unless its
   * caller leaves first.
   */
  void requestReceived(CallerExchange exchange);

  /** The caller of an unanswered request is gone. */
  void callerDisconnected(CallerExchange exchange);
}
