package org.mustardlatch.core.ledger;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Determines the age of idempotency keys that contain their creation time. */
public final class KeyAge {
  private static final Pattern UUID_V7 =
      Pattern.compile(
          "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

  private KeyAge() {}

  /**
   * Returns the creation time of a version 7 UUID in seconds since 1970, or empty for other keys.
   */
  public static OptionalLong createdSeconds(String key) {
    if (!UUID_V7.matcher(key).matches()) {
      return OptionalLong.empty();
    }
    String millis = key.substring(0, 8) + key.substring(9, 13);
    return OptionalLong.of(Long.parseLong(millis, 16) / 1000);
  }

  /**
   * Returns whether the key is older than the retention. Its record may have been removed already,
   * so a request with this key must be rejected.
   *
   * @param nowSeconds wall-clock time in seconds since 1970
   */
  public static boolean isExpired(String key, Duration retention, long nowSeconds) {
    OptionalLong created = createdSeconds(key);
    return created.isPresent() && nowSeconds - created.getAsLong() > retention.toSeconds();
  }
}
