package org.mustardlatch.core.model;

import java.util.regex.Pattern;

/** Validates names that are read from manifests, settings and network messages. */
final class Identifiers {
  private static final Pattern VALID_NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  private Identifiers() {}

  /**
   * Throws {@link IllegalArgumentException} if the value is not a valid name.
   *
   * @param kind what the name identifies, for the error message
   */
  static void checkName(String kind, String value) {
    if (!VALID_NAME.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "invalid " + kind + " name \"" + value + "\": must match " + VALID_NAME.pattern());
    }
  }
}
