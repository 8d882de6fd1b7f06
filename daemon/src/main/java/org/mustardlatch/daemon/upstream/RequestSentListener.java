package org.mustardlatch.daemon.upstream;

import okhttp3.Call;
import okhttp3.EventListener;

/** Tells whether any byte of a request may have left this process. */
final class RequestSentListener extends EventListener {
  private volatile boolean mayHaveBeenSent;

  @Override
  public void requestHeadersStart(Call call) {
    mayHaveBeenSent = true;
  }

  boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }
}
