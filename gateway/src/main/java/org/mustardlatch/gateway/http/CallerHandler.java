package org.mustardlatch.gateway.http;

/** Handles the requests of callers. Called on the event loop. */
public interface CallerHandler {
  /**
   * Called when a whole request has been received. The exchange must get exactly one response or be
   * aborted, unless the caller disconnects first.
   */
  void requestReceived(CallerExchange exchange);

  /** Called when a caller has disconnected before the end of the response. */
  void callerDisconnected(CallerExchange exchange);
}
