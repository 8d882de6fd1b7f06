package org.mustardlatch.core.ledger;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.util.Arrays;
import java.util.Locale;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * Identifies a record and its shard. The key depends only on workspace and idempotency key, so that
 * every node finds the record in the same shard.
 *
 * @param digest first 128 bits of the SHA-256 of workspace and key, 32 lower-case hexadecimal
 *     digits
 */
public record LedgerKey(String digest) {
  /** Number of shard objects. */
  public static final int SHARD_COUNT = 256;

  private static final int DIGEST_BYTES = 16;

  /** Validates the digest; throws {@link IllegalArgumentException} if it is malformed. */
  public LedgerKey {
    if (!digest.matches("[0-9a-f]{32}")) {
      throw new IllegalArgumentException(
          "a ledger key must have 32 hexadecimal digits, got " + digest);
    }
  }

  /**
   * Returns the ledger key of an idempotency key.
   *
   * @param key value of the caller's {@code Idempotency-Key}, not empty
   */
  public static LedgerKey of(WorkspaceId workspace, String key) {
    if (key.isEmpty()) {
      throw new IllegalArgumentException("the idempotency key must not be empty");
    }
    // Workspace names contain no space, so no two pairs result in the same text.
    HashCode hash = Hashing.sha256().hashString(workspace.value() + " " + key, UTF_8);
    byte[] first = Arrays.copyOf(hash.asBytes(), DIGEST_BYTES);
    return new LedgerKey(HashCode.fromBytes(first).toString());
  }

  /** Returns the number of the shard that contains the record, 0 to 255. */
  public int shard() {
    return Integer.parseInt(digest.substring(0, 2), 16);
  }

  /** Returns the name of the shard object, three digits. */
  public static String shardName(int shard) {
    if (shard < 0 || shard >= SHARD_COUNT) {
      throw new IllegalArgumentException("shard must be 0 to 255, got " + shard);
    }
    return String.format(Locale.ROOT, "%03d", shard);
  }
}
