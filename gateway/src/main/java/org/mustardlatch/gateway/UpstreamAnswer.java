package org.mustardlatch.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;

/** An answer of an upstream that is collected before it goes on. */
final class UpstreamAnswer {
  private static final int FIRST_FAILURE = 300;

  private final HttpResponse head;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  UpstreamAnswer(HttpResponse head) {
    this.head = head;
  }

  void add(ByteBuf part) {
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    body.writeBytes(bytes);
  }

  HttpResponse head() {
    return head;
  }

  int status() {
    return head.status().code();
  }

  boolean succeeded() {
    return status() < FIRST_FAILURE;
  }

  byte[] body() {
    return body.toByteArray();
  }
}
