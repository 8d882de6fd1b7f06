package org.mustardlatch.core.error;

/**
 * One fault in a manifest or settings file. All findings of a file are reported together.
 *
 * @param code stable name of the rule, for example {@code unknown_key}
 * @param location where the fault is
 * @param message what is wrong
 * @param remedy what to do about it
 */
public record Finding(String code, SourceLocation location, String message, String remedy) {
  @Override
  public String toString() {
    return location + ": " + code + ": " + message + " (" + remedy + ")";
  }
}
