package org.mustardlatch.wire;

import com.google.common.io.ByteStreams;
import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Compresses and decompresses the text of manifests with gzip, which is effective because the
 * entries of a manifest are similar to each other. Thread-safe.
 */
final class Compression {
  /** Limits the expansion of a small frame; four times the largest value of the object service. */
  static final int MAX_TEXT_BYTES = 4_000_000;

  private record CompressedText(String text, ByteString gzip) {}

  /**
   * Last compressed text, normally the active manifest. Cached because up to 16 neighbours fetch it
   * at the same time.
   */
  private static volatile CompressedText lastCompressed =
      new CompressedText("", compressUncached(""));

  private Compression() {}

  static ByteString compress(String text) {
    CompressedText cached = lastCompressed;
    if (!cached.text().equals(text)) {
      cached = new CompressedText(text, compressUncached(text));
      lastCompressed = cached;
    }
    return cached.gzip();
  }

  private static ByteString compressUncached(String text) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (OutputStream gzip = new GZIPOutputStream(bytes)) {
      gzip.write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return ByteString.copyFrom(bytes.toByteArray());
  }

  /**
   * Returns the text of compressed bytes.
   *
   * @throws IllegalArgumentException if the bytes are not valid gzip or expand beyond {@link
   *     #MAX_TEXT_BYTES}
   */
  static String decompress(ByteString compressed) {
    try (InputStream gzip = new GZIPInputStream(compressed.newInput())) {
      byte[] text = ByteStreams.limit(gzip, MAX_TEXT_BYTES + 1L).readAllBytes();
      if (text.length > MAX_TEXT_BYTES) {
        throw new IllegalArgumentException(
            "text expands to more than " + MAX_TEXT_BYTES + " bytes");
      }
      return new String(text, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalArgumentException("text is not valid gzip: " + e.getMessage(), e);
    }
  }
}
