package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/** One request of a caller and the way to answer it. */
public final class CallerExchange {
  private final CallerConnection connection;
  private final HttpRequest head;
  private final byte[] body;
  private final long receivedNanos;
  private boolean responseStarted;
  private boolean done;

  CallerExchange(CallerConnection connection, HttpRequest head, byte[] body, long receivedNanos) {
    this.connection = connection;
    this.head = head;
    this.body = body;
    this.receivedNanos = receivedNanos;
  }

  /** Returns method, target and headers. */
  public HttpRequest head() {
    return head;
  }

  /** Returns the whole body. */
  public byte[] body() {
    return body;
  }

  /** Returns the monotonic time at which the head of the request had arrived, nanoseconds. */
  public long receivedNanos() {
    return receivedNanos;
  }

  /** Returns whether the head of an answer was sent. */
  public boolean responseStarted() {
    return responseStarted;
  }

  /** Returns whether it was answered, aborted, or its caller is gone. */
  public boolean done() {
    return done;
  }

  /** Sends a whole answer. */
  public void sendResponse(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
    if (!done && !responseStarted) {
      responseStarted = true;
      done = true;
      connection.sendResponse(this, status, headers, content);
    }
  }

  /** Sends the head of an answer whose body follows in parts. */
  public void beginResponse(HttpResponseStatus status, HttpHeaders headers) {
    if (!done && !responseStarted) {
      responseStarted = true;
      connection.beginResponse(this, status, headers);
    }
  }

  /** Sends a part of the body; the buffer is copied. */
  public void sendBodyPart(ByteBuf part) {
    if (!done) {
      connection.sendBodyPart(part);
    }
  }

  /** Ends an answer that was begun. */
  public void endResponse() {
    if (!done) {
      done = true;
      connection.endResponse();
    }
  }

  /** Breaks the answer off so that it can't be taken for complete. */
  public void abort() {
    if (!done) {
      done = true;
      connection.abort();
    }
  }

  /** Returns whether the caller takes more bytes at this moment. */
  public boolean writable() {
    return connection.writable();
  }

  /** Calls a task whenever {@link #writable} changes. */
  public void onWritabilityChange(Runnable task) {
    connection.onWritabilityChange(task);
  }

  void markCallerDisconnected() {
    done = true;
  }
}
