package org.mustardlatch.core.ledger;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.util.Arrays;
import java.util.Locale;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * Location of a record: a function of workspace and idempotency key alone, so that every node looks
 * in the same place.
 *
 * @param digest first 128 bits of the SHA-256 of workspace and key, 32 lower-case hexadecimal
 *     digits
 */
public record LedgerKey(String digest) {
  /** Number of shard objects. */
  public static final int SHARDS = 256;

  private static final int DIGEST_BYTES = 16;

  /** Checks the digest; throws {@link IllegalArgumentException} when it is not one. */
  public LedgerKey {
    if (!digest.matches("[0-9a-f]{32}")) {
      throw new IllegalArgumentException("a ledger key has 32 hexadecimal digits, got " + digest);
    }
  }

  /**
   * Returns the location of a key.
   *
   * @param key value of the caller's {@code Idempotency-Key}, not empty
   */
  public static LedgerKey of(WorkspaceId workspace, String key) {
    if (key.isEmpty()) {
      throw new IllegalArgumentException("the idempotency key must not be empty");
    }
    // Workspace names hold no space, so the pair has one reading only.
    HashCode hash = Hashing.sha256().hashString(workspace.value() + " " + key, UTF_8);
    byte[] first = Arrays.copyOf(hash.asBytes(), DIGEST_BYTES);
    return new LedgerKey(HashCode.fromBytes(first).toString());
  }

  /** Returns the shard, 0 to 255. */
  public int shard() {
    return Integer.parseInt(digest.substring(0, 2), 16);
  }

  /** Returns the name of a shard's object, three digits. */
  public static String shardName(int shard) {
    if (shard < 0 || shard >= SHARDS) {
      throw new IllegalArgumentException("shard must be 0 to 255, got " + shard);
    }
    return String.format(Locale.ROOT, "%03d", shard);
  }
}
