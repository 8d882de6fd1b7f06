package org.mustardlatch.gateway.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and rejects those with ambiguous framing. */
final class RequestDecoder extends HttpRequestDecoder {
  RequestDecoder(int maxHeaderBytes) {
    super(maxHeaderBytes, maxHeaderBytes, 8 * HttpObjectDecoder.DEFAULT_MAX_CHUNK_SIZE);
  }

  /** Rejects a Content-Length with a chunked body, which would allow request smuggling. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
