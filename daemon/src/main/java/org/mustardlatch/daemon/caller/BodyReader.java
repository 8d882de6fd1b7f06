package org.mustardlatch.daemon.caller;

import io.javalin.http.Context;
import java.io.IOException;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;

/** Reads request bodies up to a size limit, with or without a {@code Content-Length} header. */
final class BodyReader {
  /**
   * Largest accepted body. A prompt of 128,000 tokens takes about 0.5 MB; JSON escapes can make it
   * 6 times as long.
   */
  static final int MAX_BYTES = 4 << 20;

  private BodyReader() {}

  /**
   * Reads the whole body of a request.
   *
   * @throws MustardlatchException with {@link ErrorCode#BODY_TOO_LARGE} if the body is longer than
   *     {@link #MAX_BYTES}
   */
  static byte[] read(Context ctx) throws IOException {
    if (ctx.req().getContentLengthLong() > MAX_BYTES) {
      throw tooLarge();
    }
    byte[] bytes = ctx.req().getInputStream().readNBytes(MAX_BYTES + 1);
    if (bytes.length > MAX_BYTES) {
      throw tooLarge();
    }
    return bytes;
  }

  private static MustardlatchException tooLarge() {
    return new MustardlatchException(
        ErrorCode.BODY_TOO_LARGE, "body is longer than " + MAX_BYTES + " bytes");
  }
}
