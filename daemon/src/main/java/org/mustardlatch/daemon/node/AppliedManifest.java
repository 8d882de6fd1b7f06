package org.mustardlatch.daemon.node;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.mustardlatch.core.manifest.Manifest;

/**
 * A manifest in force.
 *
 * @param revision its revision, at least 1
 * @param digest SHA-256 of the text, lower-case hexadecimal
 * @param text TOML text as published
 * @param manifest the parsed text
 */
public record AppliedManifest(long revision, String digest, String text, Manifest manifest) {
  /** Creates a value with the digest of the text. */
  public static AppliedManifest of(long revision, String text, Manifest manifest) {
    String digest = Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    return new AppliedManifest(revision, digest, text, manifest);
  }
}
