package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
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
    BufferedResponse r = requireResponse();
    String contentType = r.head().headers().get(HttpHeaderNames.CONTENT_TYPE);
    if (end == ResponseEnd.CONNECTION_CLOSE
        && EventStreams.isEventStream(contentType)
        && !EventStreams.endsAfterEvent(r.body())) {
      failed(CallFailure.BROKEN, "connection closed inside an event");
    } else {
      responseReceived(r);
    }
  }

  private BufferedResponse requireResponse() {
    return Objects.requireNonNull(response, "no response head received");
  }
}
