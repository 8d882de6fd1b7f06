package org.mustardlatch.gateway.http;

import org.jspecify.annotations.Nullable;

/** A call to an upstream in progress. */
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

  /** Gives the answer up. Closes the connection, by which the upstream hears of it. */
  public void cancel() {
    UpstreamConnection c = connection;
    markDone();
    if (c != null) {
      c.close();
    }
  }

  /** Stops or goes on reading the answer, so that a slow caller holds up its upstream. */
  public void setAutoRead(boolean reading) {
    UpstreamConnection c = connection;
    if (c != null) {
      c.setAutoRead(reading);
    }
  }
}
