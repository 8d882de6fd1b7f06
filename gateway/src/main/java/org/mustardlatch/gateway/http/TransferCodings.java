package org.mustardlatch.gateway.http;

import com.google.common.base.Ascii;
import java.util.List;

/** The transfer codings of responses (RFC 9112, section 7). */
public final class TransferCodings {
  private TransferCodings() {}

  /**
   * Returns whether a response with these values of {@code Transfer-Encoding} can be decoded: it
   * has none or is chunked, or the value is the obsolete {@code identity}. With another coding its
   * body would be passed on encoded, without the field that says so.
   */
  public static boolean areSupported(List<String> values) {
    if (values.isEmpty()) {
      return true;
    }
    String only = values.size() == 1 ? values.getFirst().strip() : "";
    return Ascii.equalsIgnoreCase(only, "chunked") || Ascii.equalsIgnoreCase(only, "identity");
  }
}
