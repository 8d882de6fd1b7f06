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
  public void headReceived(HttpResponse head) {
    response = new BufferedResponse(head);
  }

  @Override
  public void bodyReceived(ByteBuf part) {
    requireResponse().append(part);
  }

  @Override
  public void completed(ResponseEnd end) {
    BufferedResponse r = requireResponse();
    if (endsInsideEvent(r, end)) {
      failed(CallFailure.BROKEN, "response ended inside an event");
    } else {
      responseReceived(r);
    }
  }

  /** Framing alone tells that an error response or an empty one is complete. */
  private static boolean endsInsideEvent(BufferedResponse r, ResponseEnd end) {
    String contentType = r.head().headers().get(HttpHeaderNames.CONTENT_TYPE);
    boolean mayBeCutOff = end == ResponseEnd.CONNECTION_CLOSE || (r.succeeded() && r.length() > 0);
    return mayBeCutOff
        && EventStreams.isEventStream(contentType)
        && !EventStreams.endsAfterEvent(r.body());
  }

  final BufferedResponse requireResponse() {
    return Objects.requireNonNull(response, "no response head received");
  }
}
