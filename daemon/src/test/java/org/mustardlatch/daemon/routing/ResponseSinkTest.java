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

/**
 * Guards against output that reaches a caller from a superseded attempt, from another request or
 * after the end of the response.
 */
class ResponseSinkTest {
  private final LongAdder droppedChunks = new LongAdder();
  private final ResponseSink sink = new ResponseSink(droppedChunks);
  private final AttemptId attempt = new AttemptId(new RequestId("r-1"), 1);

  @Test
  void onlyTheProducerOpenedLastAppendsToTheResponse() throws InterruptedException {
    ResponseSink.Producer first = sink.openProducer(attempt);
    assertThat(sink.append(first, chunk("a"))).isTrue();
    ResponseSink.Producer second = sink.openProducer(attempt);
    assertThat(sink.append(first, chunk("late"))).isFalse();
    assertThat(sink.append(second, chunk("b"))).isTrue();
    assertThat(sink.partialOutput().text()).isEqualTo("ab");
    assertThat(sink.partialOutput().tokens()).isEqualTo(2);
    assertThat(droppedChunks.sum()).isEqualTo(1);
    assertThat(sink.poll(Duration.ZERO)).isInstanceOf(SinkEvent.ChunkAppended.class);
  }

  /** An engine that is only silent may go on until another one has accepted the request. */
  @Test
  void replacementAppendsOnceItHasTakenOver() {
    ResponseSink.Producer first = sink.openProducer(attempt);
    assertThat(sink.append(first, chunk("a"))).isTrue();
    ResponseSink.Producer replacement = sink.createReplacement(attempt);
    assertThat(sink.append(replacement, chunk("early"))).isFalse();

    assertThat(sink.takeOver(replacement)).isTrue();

    assertThat(sink.append(first, chunk("late"))).isFalse();
    assertThat(sink.append(replacement, chunk("b"))).isTrue();
    assertThat(sink.partialOutput().text()).isEqualTo("ab");
  }

  @Test
  void replacementDoesNotTakeOverAfterTokensThatItWouldRepeat() {
    ResponseSink.Producer first = sink.openProducer(attempt);
    ResponseSink.Producer replacement = sink.createReplacement(attempt);
    assertThat(sink.append(first, chunk("a"))).isTrue();

    assertThat(sink.takeOver(replacement)).isFalse();

    assertThat(sink.append(replacement, chunk("a"))).isFalse();
    assertThat(sink.append(first, chunk("b"))).isTrue();
    assertThat(sink.partialOutput().text()).isEqualTo("ab");
  }

  @Test
  void producerOfAnotherRequestIsRejected() {
    ResponseSink other = new ResponseSink(droppedChunks);
    ResponseSink.Producer foreignProducer =
        other.openProducer(new AttemptId(new RequestId("r-2"), 1));
    sink.openProducer(attempt);
    assertThat(sink.append(foreignProducer, chunk("crossed"))).isFalse();
    assertThat(sink.partialOutput().text()).isEmpty();
    assertThat(droppedChunks.sum()).isEqualTo(1);
  }

  @Test
  void closedSinkAcceptsNoFurtherEvents() throws InterruptedException {
    ResponseSink.Producer producer = sink.openProducer(attempt);
    sink.complete();
    sink.fail(ErrorCode.INTERNAL, "second end", Duration.ZERO);
    assertThat(sink.append(producer, chunk("after the end"))).isFalse();
    assertThat(sink.poll(Duration.ZERO)).isInstanceOf(SinkEvent.Completed.class);
    assertThat(sink.poll(Duration.ZERO)).isNull();
  }

  private static Chunk chunk(String text) {
    return new Chunk(JsonNodeFactory.instance.objectNode(), text, List.of(), 1, null);
  }
}
