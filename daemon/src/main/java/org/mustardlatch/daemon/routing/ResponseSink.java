package org.mustardlatch.daemon.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.AttemptId;

/**
 * The way from engines to the caller of one request. Only the lane that was opened last may add to
 * the answer; what others bring is counted and dropped, so a late or crossed answer can't reach the
 * caller. The queue holds at most the request's whole answer.
 */
public final class ResponseSink {
  private final BlockingQueue<SinkEvent> events = new LinkedBlockingQueue<>();
  private final LongAdder droppedChunks;
  private final StringBuilder text = new StringBuilder();
  private final List<Integer> tokenIds = new ArrayList<>();
  private int tokens;
  private boolean closed;
  private @Nullable Producer currentProducer;

  /**
   * Creates an empty sink.
   *
   * @param lateAnswers counts the pieces that were dropped
   */
  public ResponseSink(LongAdder lateAnswers) {
    this.droppedChunks = lateAnswers;
  }

  /** Makes a new lane the only one that may add to the answer. */
  public synchronized Producer openProducer(AttemptId attempt) {
    Producer lane = new Producer(attempt);
    currentProducer = lane;
    return lane;
  }

  /** Adds to the answer; returns false and drops the piece when the lane is not the current one. */
  public synchronized boolean append(Producer lane, Chunk chunk) {
    if (closed || lane != currentProducer) {
      droppedChunks.increment();
      return false;
    }
    text.append(chunk.text());
    tokenIds.addAll(chunk.tokenIds());
    tokens += chunk.tokens();
    return events.add(new SinkEvent.ChunkAppended(chunk));
  }

  /** Returns whether the lane may still add to the answer. */
  public synchronized boolean isCurrent(Producer lane) {
    return !closed && lane == currentProducer;
  }

  /** Returns what was accepted so far. */
  public synchronized PartialOutput partialOutput() {
    return new PartialOutput(text.toString(), tokenIds, tokens);
  }

  /** Ends a complete answer. */
  public synchronized void complete() {
    close(new SinkEvent.Completed());
  }

  /** Ends the request without a complete answer; does nothing after the first end. */
  public synchronized void fail(ErrorCode code, String detail, Duration retryAfter) {
    close(new SinkEvent.Failed(code, detail, retryAfter));
  }

  /** Closes the sink without an end, because nobody listens any more. */
  public synchronized void closeSilently() {
    closed = true;
  }

  /** Returns the next event, or null when none came within the given time. */
  public @Nullable SinkEvent poll(Duration wait) throws InterruptedException {
    return events.poll(wait.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void close(SinkEvent end) {
    if (!closed) {
      closed = true;
      events.add(end);
    }
  }

  /** The right of one engine call to add to the answer. Compared by identity. */
  public static final class Producer {
    private final AttemptId attempt;

    private Producer(AttemptId attempt) {
      this.attempt = attempt;
    }

    /** Returns the attempt that the lane belongs to. */
    public AttemptId attempt() {
      return attempt;
    }
  }
}
