package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Hears about a call whose answer is only used once it is whole. */
public abstract class CollectedAnswer implements CallListener {
  private @Nullable UpstreamAnswer answer;

  /** Creates a listener that has heard nothing. */
  protected CollectedAnswer() {}

  /** Handles the whole answer. */
  protected abstract void answered(UpstreamAnswer answer);

  @Override
  public final void head(HttpResponse head) {
    answer = new UpstreamAnswer(head);
  }

  @Override
  public final void body(ByteBuf part) {
    whole().add(part);
  }

  @Override
  public final void end() {
    answered(whole());
  }

  private UpstreamAnswer whole() {
    return Objects.requireNonNull(answer, "an answer begins with its head");
  }
}
