package org.mustardlatch.core.error;

/**
 * One fault in a manifest, settings or trace file. All findings of a file are reported together.
 *
 * @param code stable name of the violated rule, for example {@code unknown_key}
 * @param location position of the fault in the file
 * @param message description of the fault
 * @param remedy how to correct the fault
 */
public record Finding(String code, SourceLocation location, String message, String remedy) {
  @Override
  public String toString() {
    return location + ": " + code + ": " + message + " (" + remedy + ")";
  }
}
