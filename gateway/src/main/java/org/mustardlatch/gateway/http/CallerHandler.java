package org.mustardlatch.gateway.http;

import io.netty.handler.codec.http.HttpRequest;

/** Handles the requests of callers. Called on the event loop. */
public interface CallerHandler {
  /**
   * Called when a whole request has been received, or the beginning of one whose body passes
   * through. The exchange must get exactly one response or be aborted, unless the caller
   * disconnects first.
   */
  void requestReceived(CallerExchange exchange);

  /** Returns whether a long body of this request may pass through instead of being held whole. */
  default boolean mayPassThrough(HttpRequest head) {
    return false;
  }

  /** Called when a caller has disconnected before the end of the response. */
  void callerDisconnected(CallerExchange exchange);
}
