package org.mustardlatch.daemon.ledger;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import org.mustardlatch.core.ledger.DispatchOutcome;
import org.mustardlatch.core.ledger.KeyedRequestEvent;
import org.mustardlatch.core.ledger.KeyedResponse;

/**
 * The handle of one keyed request, from {@link LedgerService#begin} to its recorded outcome. Safe
 * for use by several threads; no method blocks.
 *
 * <p>Usage: when {@link #dispatchPermitted} completes with true and {@link #claimDispatch} returns
 * true, send the request to the application exactly once and report its outcome with {@link
 * #finish}. In every case {@link #response} completes with the response for the caller.
 */
public final class KeyedRequestHandle {
  private final CompletableFuture<Boolean> dispatchPermitted = new CompletableFuture<>();
  private final CompletableFuture<KeyedResponse> response = new CompletableFuture<>();
  private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);
  private final long deadlineNanos;
  private final BiConsumer<KeyedRequestHandle, KeyedRequestEvent> events;

  private enum State {
    OPEN,
    CLAIMED,
    CANCELLED
  }

  KeyedRequestHandle(long deadlineNanos, BiConsumer<KeyedRequestHandle, KeyedRequestEvent> events) {
    this.deadlineNanos = deadlineNanos;
    this.events = events;
  }

  /**
   * Completes with true when the start record is stored and the request may be dispatched, and with
   * false when it must not be dispatched. Never completes exceptionally.
   */
  public CompletableFuture<Boolean> dispatchPermitted() {
    return dispatchPermitted;
  }

  /** Completes once, with the response for the caller. Never completes exceptionally. */
  public CompletableFuture<KeyedResponse> response() {
    return response;
  }

  /**
   * Claims the dispatch. Returns true to exactly one invocation, unless the caller was reported as
   * disconnected before or the deadline has passed; in both cases the request is cancelled. To be
   * called immediately before the request is sent.
   */
  public boolean claimDispatch() {
    if (System.nanoTime() - deadlineNanos >= 0) {
      callerDisconnected();
    }
    return state.compareAndSet(State.OPEN, State.CLAIMED);
  }

  /**
   * Reports that the caller closed its connection. A request whose dispatch was not claimed yet is
   * cancelled; a claimed one continues, and its outcome is recorded.
   */
  public void callerDisconnected() {
    if (state.compareAndSet(State.OPEN, State.CANCELLED)) {
      events.accept(this, new KeyedRequestEvent.CallerDisconnected());
    }
  }

  /**
   * Reports the outcome of the dispatch; to be called exactly once after a successful {@link
   * #claimDispatch}.
   *
   * @return the response for the caller, the same as {@link #response}
   * @throws IllegalStateException when the dispatch was not claimed
   */
  public CompletableFuture<KeyedResponse> finish(DispatchOutcome outcome) {
    if (state.get() != State.CLAIMED) {
      throw new IllegalStateException("finish() called without a claimed dispatch");
    }
    events.accept(this, new KeyedRequestEvent.DispatchEnded(outcome));
    return response;
  }

  boolean isCancelled() {
    return state.get() == State.CANCELLED;
  }

  /** Completes the response and denies a dispatch that was not permitted before. */
  void completeResponse(KeyedResponse value) {
    dispatchPermitted.complete(false);
    response.complete(value);
  }

  void permitDispatch() {
    dispatchPermitted.complete(true);
  }
}
