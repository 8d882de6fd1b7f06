package org.mustardlatch.daemon.store;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Remembers whether any byte of a request may have left the process. A call that fails before that
 * was certainly not applied.
 */
final class SentTracker extends EventListener {
  private volatile boolean sent;

  /** Returns the tracker that the request carries as a tag. */
  static SentTracker of(Call call) {
    SentTracker tracker = call.request().tag(SentTracker.class);
    return tracker == null ? new SentTracker() : tracker;
  }

  @Override
  public void requestHeadersStart(Call call) {
    sent = true;
  }

  boolean sent() {
    return sent;
  }
}
