package org.mustardlatch.core.model;

import java.util.regex.Pattern;

/** Checks names that come from manifests, settings and the network. */
final class Identifiers {
  private static final Pattern VALID_NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  private Identifiers() {}

  static void checkName(String kind, String value) {
    if (!VALID_NAME.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "invalid " + kind + " name \"" + value + "\": must match " + VALID_NAME.pattern());
    }
  }
}
