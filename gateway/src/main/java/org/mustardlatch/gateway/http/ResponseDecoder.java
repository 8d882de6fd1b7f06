package org.mustardlatch.gateway.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.regex.Pattern;

/**
 * Decodes responses and rejects those that are not HTTP/1.1 as RFC 9112 defines it. Does not pair
 * them with requests, since a response that belongs to no request would shift the pairs.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

  // RFC 9110, section 15, defines no status below 100; those above 599 are passed on.
  private static final Pattern STATUS = Pattern.compile("[1-9][0-9]{2}");

  private static final Pattern REASON = Pattern.compile("[^\\p{Cntrl}&&[^\t]]*");

  private boolean noBody;

  ResponseDecoder() {
    super(
        HttpObjectDecoder.DEFAULT_MAX_INITIAL_LINE_LENGTH,
        4 * HttpObjectDecoder.DEFAULT_MAX_HEADER_SIZE,
        8 * HttpObjectDecoder.DEFAULT_MAX_CHUNK_SIZE);
  }

  /** Returns whether bytes have arrived after the response that was decoded last. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }

  /** Sets whether the next response has no body whatever its head states, as those to HEAD. */
  void expectNoBody(boolean expected) {
    noBody = expected;
  }

  /**
   * Rejects a status line whose parts are not those of a response. The decoder itself takes any
   * integer for a status.
   */
  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    requireMatch(VERSION, statusLine[0], "version");
    requireMatch(STATUS, statusLine[1], "status");
    requireMatch(REASON, statusLine[2], "reason phrase");
    return super.createMessage(statusLine);
  }

  private static void requireMatch(Pattern pattern, String part, String name) {
    if (!pattern.matcher(part).matches()) {
      throw new IllegalArgumentException("invalid " + name);
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return noBody || super.isContentAlwaysEmpty(message);
  }
}
