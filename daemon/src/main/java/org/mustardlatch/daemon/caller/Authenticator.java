package org.mustardlatch.daemon.caller;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Workspace;

/** Finds the workspace of an API key. Manifests contain SHA-256 digests of the keys only. */
final class Authenticator {
  private static final String SCHEME = "Bearer ";

  private Authenticator() {}

  /**
   * Returns the workspace that the API key belongs to.
   *
   * @param authorization value of the {@code Authorization} header, or null if it is missing
   * @throws MustardlatchException with {@link ErrorCode#UNAUTHENTICATED} if the header is missing
   *     or malformed or no workspace has the key
   */
  static Workspace authenticate(Manifest manifest, @Nullable String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      throw new MustardlatchException(
          ErrorCode.UNAUTHENTICATED, "header Authorization must be \"Bearer\" and an API key");
    }
    String key = authorization.substring(SCHEME.length()).strip();
    String digest = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    return manifest.workspaces().stream()
        .filter(w -> w.apiKeysSha256().contains(digest))
        .findFirst()
        .orElseThrow(
            () -> new MustardlatchException(ErrorCode.UNAUTHENTICATED, "the API key is not known"));
  }
}
