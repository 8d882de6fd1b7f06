package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;

/** A response of an upstream that is buffered in memory. */
public final class BufferedResponse {
  private static final int FIRST_NON_SUCCESS_STATUS = 300;

  private final HttpResponse head;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  /** Creates a response without a body. */
  public BufferedResponse(HttpResponse head) {
    this.head = head;
  }

  /** Appends a copy of a part of the body. */
  public void append(ByteBuf part) {
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    body.writeBytes(bytes);
  }

  /** Returns the status and the headers. */
  public HttpResponse head() {
    return head;
  }

  /** Returns the status code. */
  public int status() {
    return head.status().code();
  }

  /** Returns whether the status is below 300, neither a redirection nor an error. */
  public boolean succeeded() {
    return status() < FIRST_NON_SUCCESS_STATUS;
  }

  /** Returns the length of the body received so far, bytes. */
  public int length() {
    return body.size();
  }

  /** Returns the body received so far. */
  public byte[] body() {
    return body.toByteArray();
  }
}
