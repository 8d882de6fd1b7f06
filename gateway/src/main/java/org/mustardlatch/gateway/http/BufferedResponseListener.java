package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Buffers the response to a call and passes it on when it is complete. */
public abstract class BufferedResponseListener implements CallListener {
  private @Nullable BufferedResponse response;

  /** Creates a listener that has not received a response yet. */
  protected BufferedResponseListener() {}

  /** Handles the complete response. */
  protected abstract void responseReceived(BufferedResponse completeResponse);

  @Override
  public final void headReceived(HttpResponse head) {
    response = new BufferedResponse(head);
  }

  @Override
  public final void bodyReceived(ByteBuf part) {
    requireResponse().append(part);
  }

  @Override
  public final void completed(ResponseEnd end) {
    responseReceived(requireResponse());
  }

  private BufferedResponse requireResponse() {
    return Objects.requireNonNull(response, "no response head received");
  }
}
