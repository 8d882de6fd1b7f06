package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to a call: one head, any number of body parts and the end, or a failure at
 * any point. Called on the event loop; no method is called after the end, a failure or a
 * cancellation.
 */
public interface CallListener {
  /** Called when the request has been handed to a connection to be sent. */
  default void sent() {}

  /** Called with the status and the headers. */
  void headReceived(HttpResponse head);

  /** Called for each part of the body; the buffer is only valid during the call. */
  void bodyReceived(ByteBuf part);

  /** Called when the response has ended without a failure. */
  void completed(ResponseEnd end);

  /** Called when the call has failed and no complete response will follow. */
  void failed(CallFailure failure, String reason);
}
