package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Hears about a call whose answer is only used once it is whole. */
public abstract class BufferedResponseListener implements CallListener {
  private @Nullable BufferedResponse response;

  /** Creates a listener that has heard nothing. */
  protected BufferedResponseListener() {}

  /** Handles the whole answer. */
  protected abstract void responseReceived(BufferedResponse answer);

  @Override
  public final void headReceived(HttpResponse head) {
    response = new BufferedResponse(head);
  }

  @Override
  public final void bodyReceived(ByteBuf part) {
    requireResponse().append(part);
  }

  @Override
  public final void completed() {
    responseReceived(requireResponse());
  }

  private BufferedResponse requireResponse() {
    return Objects.requireNonNull(response, "an answer begins with its head");
  }
}
