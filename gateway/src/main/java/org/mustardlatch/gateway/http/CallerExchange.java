package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/** One request of a caller and its response. Used on the event loop only. */
public final class CallerExchange {
  private final CallerConnection connection;
  private final HttpRequest head;
  private final RequestBody body;
  private final long receivedNanos;
  private final boolean lastOnConnection;
  private boolean responseStarted;
  private boolean done;

  CallerExchange(
      CallerConnection connection,
      HttpRequest head,
      RequestBody body,
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

  /** Returns the body of the request, which may still arrive. */
  public RequestBody body() {
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
    sendResponse(status, headers, content, () -> {});
  }

  /**
   * Sends a complete response, unless one has been started.
   *
   * @param departed runs when the content has left this node, or will not be sent
   */
  public void sendResponse(
      HttpResponseStatus status, HttpHeaders headers, byte[] content, Runnable departed) {
    if (!done && !responseStarted) {
      responseStarted = true;
      done = true;
      connection.sendResponse(this, status, headers, content, departed);
    } else {
      departed.run();
    }
  }

  /** Sends the head of a response whose body follows in parts. */
  public void beginResponse(HttpResponseStatus status, HttpHeaders headers) {
    if (!done && !responseStarted) {
      responseStarted = true;
      connection.beginResponse(status, headers, false);
    }
  }

  /**
   * Sends the head of a response whose body follows in parts, with the length that the headers
   * state.
   */
  public void beginResponseOfStatedLength(HttpResponseStatus status, HttpHeaders headers) {
    if (!done && !responseStarted) {
      responseStarted = true;
      connection.beginResponse(status, headers, true);
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

  /**
   * Returns whether more parts of the response may be sent: the caller reads, or the node has room
   * to buffer for it.
   */
  public boolean mayBuffer() {
    return !done && connection.mayBuffer();
  }

  /** Sets the task that runs when {@link #mayBuffer} may have changed, until the exchange ends. */
  public void onRoomChange(Runnable task) {
    connection.onRoomChange(task);
  }

  void markCallerDisconnected() {
    done = true;
  }
}
