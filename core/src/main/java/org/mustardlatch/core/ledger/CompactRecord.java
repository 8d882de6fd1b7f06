package org.mustardlatch.core.ledger;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Strings;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.util.Arrays;
import java.util.Locale;

/**
 * Compact form of a record that ended more than {@link LedgerLimits#FULL_RECORD_RETENTION} ago. It
 * takes 40 bytes in the shard object, including quotes and comma.
 *
 * @param key ledger key of the record
 * @param requestChecksum 24 bits of the request digest, to detect most reuses of a key for another
 *     request
 * @param state state of the attempt; never STARTED
 * @param status HTTP status of the response; 0 if there is none
 * @param changedSeconds wall-clock time of the last change, seconds since 1970
 */
record CompactRecord(
    LedgerKey key, String requestChecksum, RecordState state, int status, long changedSeconds) {
  private static final BaseEncoding BASE64 = BaseEncoding.base64Url().omitPadding();
  private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();
  private static final int KEY_END = 22;
  private static final int CHECKSUM_END = 26;
  private static final int STATUS_END = 30;
  private static final int ENCODED_LENGTH = 37;

  static CompactRecord of(LedgerRecord r) {
    return new CompactRecord(
        r.key(), checksumOf(r.requestDigest()), r.state(), r.status(), r.changedSeconds());
  }

  static String checksumOf(String requestDigest) {
    byte[] hash = Hashing.sha256().hashString(requestDigest, UTF_8).asBytes();
    return BASE64.encode(Arrays.copyOf(hash, 3));
  }

  String encode() {
    String time = Strings.padStart(Long.toString(changedSeconds, Character.MAX_RADIX), 7, '0');
    return BASE64.encode(HEX.decode(key.digest()))
        + requestChecksum
        + state.letter()
        + String.format(Locale.ROOT, "%03d", status)
        + time;
  }

  static CompactRecord decode(String text) {
    if (text.length() != ENCODED_LENGTH) {
      throw new IllegalArgumentException("a compact record must have 37 characters, got " + text);
    }
    return new CompactRecord(
        new LedgerKey(HEX.encode(BASE64.decode(text.substring(0, KEY_END)))),
        text.substring(KEY_END, CHECKSUM_END),
        RecordState.ofLetter(text.charAt(CHECKSUM_END)),
        Integer.parseInt(text.substring(CHECKSUM_END + 1, STATUS_END)),
        Long.parseLong(text.substring(STATUS_END), Character.MAX_RADIX));
  }
}
