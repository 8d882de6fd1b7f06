package org.mustardlatch.gateway.http;

import org.jspecify.annotations.Nullable;

/** A call to an upstream: one request and its response. Used on the event loop only. */
public final class Call {
  private final CallRequest request;
  private final CallListener listener;
  private @Nullable UpstreamConnection connection;
  private boolean done;

  Call(CallRequest request, CallListener listener) {
    this.request = request;
    this.listener = listener;
  }

  CallRequest request() {
    return request;
  }

  CallListener listener() {
    return listener;
  }

  void assignConnection(UpstreamConnection c) {
    connection = c;
  }

  void markDone() {
    done = true;
    connection = null;
  }

  boolean done() {
    return done;
  }

  /** Cancels the call and closes its connection, by which the upstream notices the cancellation. */
  public void cancel() {
    UpstreamConnection c = connection;
    markDone();
    if (c != null) {
      c.close();
    }
  }

  /** Pauses or resumes reading the response, to apply back pressure from a slow caller. */
  public void setAutoRead(boolean read) {
    UpstreamConnection c = connection;
    if (c != null) {
      c.setAutoRead(read);
    }
  }
}
