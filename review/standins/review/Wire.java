package review;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Reading of HTTP/1.1. */
final class Wire {
  private Wire() {}

  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("channel closed");
      }
      if (b != '\r') {
        line.append((char) b);
      }
    }
    return line.toString();
  }

  static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
  }

  static String read(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("channel closed in a body");
    }
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }
}
