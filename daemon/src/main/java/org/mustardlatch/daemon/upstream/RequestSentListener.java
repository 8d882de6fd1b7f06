package org.mustardlatch.daemon.upstream;

import okhttp3.Call;
import okhttp3.EventListener;

/** Records whether any byte of a request may have been sent. Used for one call only. */
final class RequestSentListener extends EventListener {
  private volatile boolean headersStarted;

  @Override
  public void requestHeadersStart(Call call) {
    headersStarted = true;
  }

  boolean mayHaveBeenSent() {
    return headersStarted;
  }
}
