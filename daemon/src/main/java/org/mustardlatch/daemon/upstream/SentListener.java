package org.mustardlatch.daemon.upstream;

import okhttp3.Call;
import okhttp3.EventListener;

/** Tells whether any byte of a request may have left this process. */
final class SentListener extends EventListener {
  private volatile boolean sent;

  @Override
  public void requestHeadersStart(Call call) {
    sent = true;
  }

  boolean sent() {
    return sent;
  }
}
