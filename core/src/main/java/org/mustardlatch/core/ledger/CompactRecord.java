package org.mustardlatch.core.ledger;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Strings;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.util.Arrays;
import java.util.Locale;

/**
 * What remains of a record after its first minutes: 40 bytes in the shard object, quotes and comma
 * included.
 *
 * @param key where it belongs
 * @param requestCheck 24 bits of the request digest, to detect most reuses of a key
 * @param state state of the attempt; never STARTED
 * @param status HTTP status of the answer; 0 when there is none
 * @param changedSeconds wall-clock time of the last change, seconds since 1970
 */
record CompactRecord(
    LedgerKey key, String requestCheck, RecordState state, int status, long changedSeconds) {
  private static final BaseEncoding BASE64 = BaseEncoding.base64Url().omitPadding();
  private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();
  private static final int KEY_END = 22;
  private static final int CHECK_END = 26;
  private static final int STATUS_END = 30;
  private static final int LENGTH = 37;

  static CompactRecord of(LedgerRecord r) {
    return new CompactRecord(
        r.key(), checkOf(r.request()), r.state(), r.status(), r.changedSeconds());
  }

  static String checkOf(String request) {
    byte[] hash = Hashing.sha256().hashString(request, UTF_8).asBytes();
    return BASE64.encode(Arrays.copyOf(hash, 3));
  }

  String encode() {
    String time = Strings.padStart(Long.toString(changedSeconds, Character.MAX_RADIX), 7, '0');
    return BASE64.encode(HEX.decode(key.digest()))
        + requestCheck
        + state.letter()
        + String.format(Locale.ROOT, "%03d", status)
        + time;
  }

  static CompactRecord decode(String text) {
    if (text.length() != LENGTH) {
      throw new IllegalArgumentException("a compact record has 37 characters, got " + text);
    }
    return new CompactRecord(
        new LedgerKey(HEX.encode(BASE64.decode(text.substring(0, KEY_END)))),
        text.substring(KEY_END, CHECK_END),
        RecordState.ofLetter(text.charAt(CHECK_END)),
        Integer.parseInt(text.substring(CHECK_END + 1, STATUS_END)),
        Long.parseLong(text.substring(STATUS_END), Character.MAX_RADIX));
  }
}
