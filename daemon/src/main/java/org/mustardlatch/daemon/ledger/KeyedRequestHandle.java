package org.mustardlatch.daemon.ledger;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import org.mustardlatch.core.ledger.DispatchOutcome;
import org.mustardlatch.core.ledger.KeyedRequestEvent;
import org.mustardlatch.core.ledger.KeyedResponse;

/**
 * One keyed request from begin to finish. Safe for use by several threads; no method blocks.
 *
 * <p>Use: when {@link #dispatchPermitted} completes with true and {@link #claimDispatch} returns true,
 * send the request to the application exactly once and report its end with {@link #finish}. In
 * every case answer the caller with what {@link #response} completes with.
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
    CALLER_DISCONNECTED
  }

  KeyedRequestHandle(long deadlineNanos, BiConsumer<KeyedRequestHandle, KeyedRequestEvent> events) {
    this.deadlineNanos = deadlineNanos;
    this.events = events;
  }

  /**
   * Completes with true when the start record exists and the request is to be dispatched, and with
   * false when it must not be dispatched. Never completes exceptionally.
   */
  public CompletableFuture<Boolean> dispatchPermitted() {
    return dispatchPermitted;
  }

  /** Completes once with the answer for the caller. Never completes exceptionally. */
  public CompletableFuture<KeyedResponse> response() {
    return response;
  }

  /**
   * Returns true to exactly one call, unless the caller was reported gone before or the deadline
   * has passed; then the request is cancelled. Ask right before sending.
   */
  public boolean claimDispatch() {
    if (System.nanoTime() - deadlineNanos >= 0) {
      callerDisconnected();
    }
    return state.compareAndSet(State.OPEN, State.CLAIMED);
  }

  /**
   * Reports that the caller closed its connection. A request that was not claimed yet is cancelled;
   * a claimed one goes on and is recorded.
   */
  public void callerDisconnected() {
    if (state.compareAndSet(State.OPEN, State.CALLER_DISCONNECTED)) {
      events.accept(this, new KeyedRequestEvent.CallerDisconnected());
    }
  }

  /**
   * Reports the end of the dispatch; to be called exactly once after a successful {@link
   * #claimDispatch}.
   *
   * @return the answer for the caller, the same as {@link #response}
   * @throws IllegalStateException when the dispatch was not claimed
   */
  public CompletableFuture<KeyedResponse> finish(DispatchOutcome outcome) {
    if (state.get() != State.CLAIMED) {
      throw new IllegalStateException("finish without a claimed dispatch");
    }
    events.accept(this, new KeyedRequestEvent.DispatchEnded(outcome));
    return response;
  }

  boolean isCallerDisconnected() {
    return state.get() == State.CALLER_DISCONNECTED;
  }

  void completeResponse(KeyedResponse value) {
    dispatchPermitted.complete(false);
    response.complete(value);
  }

  void permitDispatch() {
    dispatchPermitted.complete(true);
  }
}
