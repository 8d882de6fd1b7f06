package org.mustardlatch.daemon.node;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.mustardlatch.core.manifest.Manifest;

/**
 * A manifest revision that was activated on this node, with its source text and parsed content.
 *
 * @param revision revision number, at least 1
 * @param digest SHA-256 hash of {@code text}, in lower-case hexadecimal
 * @param text TOML text as published
 * @param manifest parsed content of {@code text}
 */
public record AppliedManifest(long revision, String digest, String text, Manifest manifest) {
  /** Creates an applied manifest and computes the digest of its text. */
  public static AppliedManifest of(long revision, String text, Manifest manifest) {
    String digest = Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    return new AppliedManifest(revision, digest, text, manifest);
  }
}
