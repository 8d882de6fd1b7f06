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

/** Compresses manifests, whose entries resemble each other. */
final class Compression {
  /** Four times the largest value of the object service; a frame must not expand without bound. */
  static final int MAX_TEXT_BYTES = 4_000_000;

  private record CompressedText(String text, ByteString gzip) {}

  /** The manifest in force, because up to 16 neighbours fetch it at the same time. */
  private static volatile CompressedText lastCompressed = new CompressedText("", compressUncached(""));

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

  /** Throws {@link IllegalArgumentException} when the bytes are damaged or expand too far. */
  static String decompress(ByteString compressed) {
    try (InputStream gzip = new GZIPInputStream(compressed.newInput())) {
      byte[] text = ByteStreams.limit(gzip, MAX_TEXT_BYTES + 1L).readAllBytes();
      if (text.length > MAX_TEXT_BYTES) {
        throw new IllegalArgumentException(
            "text expands to more than " + MAX_TEXT_BYTES + " bytes");
      }
      return new String(text, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalArgumentException("text is not gzip: " + e.getMessage(), e);
    }
  }
}
