package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/** One request of a caller and its response. Used on the event loop only. */
public final class CallerExchange {
  private final CallerConnection connection;
  private final HttpRequest head;
  private final byte[] body;
  private final long receivedNanos;
  private final boolean lastOnConnection;
  private boolean responseStarted;
  private boolean done;

  CallerExchange(
      CallerConnection connection,
      HttpRequest head,
      byte[] body,
      long receivedNanos,
      boolean lastOnConnection) {
    this.connection = connection;
    this.head = head;
    this.body = body;
    this.receivedNanos = receivedNanos;
    this.lastOnConnection = lastOnConnection;
  }

  /** Returns the method, target and headers of the request. */
  public HttpRequest head() {
    return head;
  }

  /** Returns the whole body of the request. */
  public byte[] body() {
    return body;
  }

  /** Returns the monotonic time at which the head of the request was received, in nanoseconds. */
  public long receivedNanos() {
    return receivedNanos;
  }

  /**
   * Returns whether the connection would be closed by now, if only the caller had been told so by
   * the response to its request before.
   */
  public boolean lastOnConnection() {
    return lastOnConnection;
  }

  /** Returns whether the head of a response was sent. */
  public boolean responseStarted() {
    return responseStarted;
  }

  /** Returns whether the response was completed or aborted, or the caller has disconnected. */
  public boolean done() {
    return done;
  }

  /** Sends a complete response, unless one has been started. */
  public void sendResponse(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
    if (!done && !responseStarted) {
      responseStarted = true;
      done = true;
      connection.sendResponse(this, status, headers, content);
    }
  }

  /** Sends the head of a response whose body follows in parts. */
  public void beginResponse(HttpResponseStatus status, HttpHeaders headers) {
    if (!done && !responseStarted) {
      responseStarted = true;
      connection.beginResponse(this, status, headers);
    }
  }

  /** Sends a part of the response body; the buffer is copied. */
  public void sendBodyPart(ByteBuf part) {
    if (!done) {
      connection.sendBodyPart(part);
    }
  }

  /** Ends a response that was started by {@link #beginResponse}. */
  public void endResponse() {
    if (!done) {
      done = true;
      connection.endResponse();
    }
  }

  /** Resets the connection, so that the caller can't take a partial response for a complete one. */
  public void abort() {
    if (!done) {
      done = true;
      connection.abort();
    }
  }

  /** Returns whether more bytes can be written without exceeding the outbound buffer. */
  public boolean writable() {
    return connection.writable();
  }

  /** Sets the task that runs whenever {@link #writable} changes, until the exchange ends. */
  public void onWritabilityChange(Runnable task) {
    connection.onWritabilityChange(task);
  }

  void markCallerDisconnected() {
    done = true;
  }
}
