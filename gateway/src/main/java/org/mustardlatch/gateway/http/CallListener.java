package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Hears about the answer to a call: one head, any number of body parts and the end, or a failure at
 * any point. Nothing is heard after the end, a failure or a cancel.
 */
public interface CallListener {
  /** The request is on its way on a connection. */
  default void sent() {}

  /** The status and the headers. */
  void headReceived(HttpResponse head);

  /** A part of the body; the buffer is only valid during the call. */
  void bodyReceived(ByteBuf part);

  /** The answer is complete. */
  void completed();

  /** There will be no whole answer. */
  void failed(CallFailure failure, String reason);
}
