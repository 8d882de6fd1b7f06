package org.mustardlatch.core.model;

import com.google.common.hash.Hashing;

/** Validates identifiers, and makes them from the names that a platform's operator chooses. */
public final class Identifiers {
  private static final int MAX_LENGTH = 63;
  private static final String DIGEST_PREFIX = "sha256-";
  private static final int DIGEST_DIGITS = 40;

  private Identifiers() {}

  /**
   * Returns an identifier for a name of any length with any characters: the name itself if it is
   * valid, otherwise a digest of it. Different names have different identifiers.
   */
  public static String of(String name) {
    return isValid(name) && !name.startsWith(DIGEST_PREFIX)
        ? name
        : DIGEST_PREFIX
            + Hashing.sha256().hashUnencodedChars(name).toString().substring(0, DIGEST_DIGITS);
  }

  /**
   * Throws {@link IllegalArgumentException} if the value is not a valid name.
   *
   * @param kind what the name identifies, for the error message
   */
  static void checkName(String kind, String value) {
    if (!isValid(value)) {
      throw new IllegalArgumentException(
          "invalid "
              + kind
              + " name \""
              + value
              + "\": must match [a-z0-9][a-z0-9._-]{0,"
              + (MAX_LENGTH - 1)
              + "}");
    }
  }

  private static boolean isValid(String name) {
    if (name.isEmpty() || name.length() > MAX_LENGTH || !isLetterOrDigit(name.charAt(0))) {
      return false;
    }
    for (int i = 1; i < name.length(); i++) {
      char c = name.charAt(i);
      if (!isLetterOrDigit(c) && c != '.' && c != '_' && c != '-') {
        return false;
      }
    }
    return true;
  }

  private static boolean isLetterOrDigit(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  }
}
