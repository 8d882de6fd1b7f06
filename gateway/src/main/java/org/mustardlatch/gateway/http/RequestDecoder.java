package org.mustardlatch.gateway.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and refuses those whose framing has two readings. */
final class RequestDecoder extends HttpRequestDecoder {
  RequestDecoder(int maxHeaderBytes) {
    super(maxHeaderBytes, maxHeaderBytes, 8 * HttpObjectDecoder.DEFAULT_MAX_CHUNK_SIZE);
  }

  /** Rejects a length beside chunks, by which a second request could be smuggled in. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
