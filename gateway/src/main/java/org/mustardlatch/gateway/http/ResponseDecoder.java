package org.mustardlatch.gateway.http;

import static io.netty.handler.codec.http.HttpHeaderNames.TRANSFER_ENCODING;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import java.util.List;
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
  // Set from the status line to the end of the head.
  private boolean inFields;
  private boolean foldedLine;

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

  /** Returns whether only the end of its connection delimits a response. */
  boolean endsWithConnection(HttpResponse response) {
    return !isContentAlwaysEmpty(response)
        && !HttpUtil.isTransferEncodingChunked(response)
        && !HttpUtil.isContentLengthSet(response);
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
    inFields = true;
    foldedLine = false;
    return super.createMessage(statusLine);
  }

  private static void requireMatch(Pattern pattern, String part, String name) {
    if (!pattern.matcher(part).matches()) {
      throw new InvalidHeadException("invalid " + name);
    }
  }

  /**
   * Rejects a name that a blank ends. The decoder of responses itself skips the rest up to the
   * colon, so that {@code Content-Length x: 5} would be the length of the body.
   */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new InvalidHeadException("blank in the name of a header field");
    }
    return super.splitHeaderName(line, start, length);
  }

  /**
   * Rejects a head with a folded line, or with a transfer coding that can't be decoded. The decoder
   * itself appends a line that begins with a blank to the value of the field before (RFC 9112,
   * section 5.2, allows either), and ignores codings other than chunked.
   */
  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    boolean startsInFields = inFields;
    int start = buffer.readerIndex();
    super.decode(ctx, buffer, out);
    if (!inFields) {
      return;
    }
    // The lines of a head are consumed whole.
    foldedLine |= hasFoldedLine(buffer, start, startsInFields);
    if (!out.isEmpty() && out.getFirst() instanceof HttpResponse response) {
      inFields = false;
      if (foldedLine) {
        reject(response, "folded header field");
      } else if (!TransferCodings.areSupported(response.headers().getAll(TRANSFER_ENCODING))) {
        reject(response, "unsupported transfer coding");
      }
    }
  }

  private static void reject(HttpResponse response, String reason) {
    response.setDecoderResult(DecoderResult.failure(new InvalidHeadException(reason)));
  }

  /** Returns whether one of the lines between an index and the reader index begins with a blank. */
  private static boolean hasFoldedLine(ByteBuf buffer, int start, boolean startsWithField) {
    boolean lineStart = startsWithField;
    for (int i = start; i < buffer.readerIndex(); i++) {
      byte b = buffer.getByte(i);
      if (lineStart && (b == ' ' || b == '\t')) {
        return true;
      }
      lineStart = b == '\n';
    }
    return false;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return noBody || super.isContentAlwaysEmpty(message);
  }

  /** Tells what is invalid in a head, in words that hold none of its bytes. */
  static final class InvalidHeadException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private InvalidHeadException(String message) {
      super(message);
    }
  }
}
