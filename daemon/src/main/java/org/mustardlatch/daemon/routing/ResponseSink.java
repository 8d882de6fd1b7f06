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
 * Passes the output of one request from engine calls to the thread that writes the caller's
 * response. Only the producer that was opened, or took over, last may append; chunks of other
 * producers are dropped and counted, so output of a superseded attempt or of another request cannot
 * reach the caller. The queue grows to at most the complete output of the request. Safe for use by
 * several threads.
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
   * @param droppedChunks counts the chunks that were dropped
   */
  public ResponseSink(LongAdder droppedChunks) {
    this.droppedChunks = droppedChunks;
  }

  /** Opens a producer for an attempt; from then on no other producer may append. */
  public synchronized Producer openProducer(AttemptId attempt) {
    Producer producer = new Producer(attempt, tokens);
    currentProducer = producer;
    return producer;
  }

  /** Creates a producer that may append once it has taken over from the current one. */
  public synchronized Producer createReplacement(AttemptId attempt) {
    return new Producer(attempt, tokens);
  }

  /**
   * Makes a producer the current one, unless tokens were appended since it was created, which its
   * output would repeat.
   *
   * @return whether the producer is the current one now
   */
  public synchronized boolean takeOver(Producer producer) {
    if (producer != currentProducer && !closed && tokens == producer.tokensBefore) {
      currentProducer = producer;
    }
    return isCurrent(producer);
  }

  /** Returns the attempt of the current producer, or null if none was opened. */
  public synchronized @Nullable AttemptId currentAttempt() {
    return currentProducer == null ? null : currentProducer.attempt();
  }

  /**
   * Appends a chunk to the output. Returns false and drops the chunk when the producer is not the
   * current one or the sink is closed.
   */
  public synchronized boolean append(Producer producer, Chunk chunk) {
    if (closed || producer != currentProducer) {
      droppedChunks.increment();
      return false;
    }
    text.append(chunk.text());
    tokenIds.addAll(chunk.tokenIds());
    tokens += chunk.tokens();
    return events.add(new SinkEvent.ChunkAppended(chunk));
  }

  /** Returns whether the producer may still append. */
  public synchronized boolean isCurrent(Producer producer) {
    return !closed && producer == currentProducer;
  }

  /** Returns the output appended so far. */
  public synchronized PartialOutput partialOutput() {
    return new PartialOutput(text.toString(), tokenIds, tokens);
  }

  /** Closes the sink after a complete response; does nothing when it is closed already. */
  public synchronized void complete() {
    close(new SinkEvent.Completed());
  }

  /** Closes the sink with an error; does nothing when it is closed already. */
  public synchronized void fail(ErrorCode code, String detail, Duration retryAfter) {
    close(new SinkEvent.Failed(code, detail, retryAfter));
  }

  /** Closes the sink without a final event, for a caller that has disconnected. */
  public synchronized void closeSilently() {
    closed = true;
  }

  /** Waits for the next event; returns null when none arrives within the timeout. */
  public @Nullable SinkEvent poll(Duration timeout) throws InterruptedException {
    return events.poll(timeout.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void close(SinkEvent finalEvent) {
    if (!closed) {
      closed = true;
      events.add(finalEvent);
    }
  }

  /** Identifies one engine call as the source of output. Compared by identity. */
  public static final class Producer {
    private final AttemptId attempt;
    private final int tokensBefore;

    private Producer(AttemptId attempt, int tokensBefore) {
      this.attempt = attempt;
      this.tokensBefore = tokensBefore;
    }

    /** Returns the attempt that this producer belongs to. */
    public AttemptId attempt() {
      return attempt;
    }
  }
}
