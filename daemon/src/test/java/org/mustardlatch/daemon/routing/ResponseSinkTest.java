package org.mustardlatch.daemon.routing;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.RequestId;

/** Guards against late and crossed answers that reach a caller. */
class ResponseSinkTest {
  private final LongAdder dropped = new LongAdder();
  private final ResponseSink sink = new ResponseSink(dropped);
  private final AttemptId attempt = new AttemptId(new RequestId("r-1"), 1);

  @Test
  void onlyTheLaneOpenedLastAddsToTheAnswer() throws InterruptedException {
    ResponseSink.Lane first = sink.open(attempt);
    assertThat(sink.accept(first, chunk("a"))).isTrue();
    ResponseSink.Lane second = sink.open(attempt);
    assertThat(sink.accept(first, chunk("late"))).isFalse();
    assertThat(sink.accept(second, chunk("b"))).isTrue();
    assertThat(sink.soFar().text()).isEqualTo("ab");
    assertThat(sink.soFar().tokens()).isEqualTo(2);
    assertThat(dropped.sum()).isEqualTo(1);
    assertThat(sink.next(Duration.ZERO)).isInstanceOf(SinkEvent.Piece.class);
  }

  @Test
  void aLaneOfAnotherRequestIsRefused() {
    ResponseSink other = new ResponseSink(dropped);
    ResponseSink.Lane crossed = other.open(new AttemptId(new RequestId("r-2"), 1));
    sink.open(attempt);
    assertThat(sink.accept(crossed, chunk("crossed"))).isFalse();
    assertThat(sink.soFar().text()).isEmpty();
    assertThat(dropped.sum()).isEqualTo(1);
  }

  @Test
  void nothingFollowsTheFirstEnd() throws InterruptedException {
    ResponseSink.Lane lane = sink.open(attempt);
    sink.complete();
    sink.fail(ErrorCode.INTERNAL, "second end", Duration.ZERO);
    assertThat(sink.accept(lane, chunk("after the end"))).isFalse();
    assertThat(sink.next(Duration.ZERO)).isInstanceOf(SinkEvent.End.class);
    assertThat(sink.next(Duration.ZERO)).isNull();
  }

  private static Chunk chunk(String text) {
    return new Chunk(JsonNodeFactory.instance.objectNode(), text, List.of(), 1, null);
  }
}
