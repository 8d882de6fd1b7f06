package org.mustardlatch.daemon.store;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records whether any byte of a request may have been sent. A call that fails before that point was
 * certainly not applied.
 */
final class SentTracker extends EventListener {
  private volatile boolean sent;

  /** Returns the tracker attached to the request as a tag. */
  static SentTracker of(Call call) {
    SentTracker tracker = call.request().tag(SentTracker.class);
    return tracker == null ? new SentTracker() : tracker;
  }

  @Override
  public void requestHeadersStart(Call call) {
    sent = true;
  }

  /** Returns whether any byte of the request may have been sent. */
  boolean sent() {
    return sent;
  }
}
