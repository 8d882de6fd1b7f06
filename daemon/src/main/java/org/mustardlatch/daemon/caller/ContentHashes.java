package org.mustardlatch.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.daemon.routing.GenerationInput;

/**
 * Computes hashes of a request's content: a fingerprint, by which requests that crash engines are
 * recognized, and prefix hashes, by which engines with a matching prefix cache are found. All nodes
 * compute the same hash for equal content.
 */
final class ContentHashes {
  /** Size of a prefix block: 256 tokens at an estimated 4 bytes each. */
  private static final int PREFIX_BLOCK_BYTES = 1024;

  private static final HashFunction BLOCK_HASH = Hashing.farmHashFingerprint64();

  /**
   * Fields that affect how a response is delivered or accounted, but not what an engine computes.
   */
  private static final List<String> IGNORED_FIELDS =
      List.of("stream", "stream_options", "user", "metadata", "store", "service_tier");

  private ContentHashes() {}

  /** Returns the SHA-256 digest of model, prompt and sampling parameters, whatever their order. */
  static Fingerprint fingerprint(GenerationInput input) {
    ObjectNode content = input.body().objectNode();
    content.setAll(input.body());
    content.remove(IGNORED_FIELDS);
    return new Fingerprint(
        Hashing.sha256().hashBytes(StrictJson.toCanonicalBytes(content)).toString());
  }

  /**
   * Returns digests of the parts of the prompt that other requests may share, each with the model:
   * the messages of a chat, or the full blocks of a text, without the last one.
   */
  static List<Fingerprint> sharedPromptParts(GenerationInput input) {
    List<byte[]> parts = new ArrayList<>();
    if (input.chat()) {
      input.body().path("messages").forEach(m -> parts.add(StrictJson.toCanonicalBytes(m)));
    } else {
      byte[] bytes = input.body().path("prompt").toString().getBytes(StandardCharsets.UTF_8);
      for (int offset = 0; offset < bytes.length; offset += PREFIX_BLOCK_BYTES) {
        parts.add(
            Arrays.copyOfRange(bytes, offset, Math.min(bytes.length, offset + PREFIX_BLOCK_BYTES)));
      }
    }
    return parts.subList(0, Math.max(0, parts.size() - 1)).stream()
        .map(part -> partDigest(input, part))
        .toList();
  }

  private static Fingerprint partDigest(GenerationInput input, byte[] part) {
    return new Fingerprint(
        Hashing.sha256()
            .newHasher()
            .putString(input.model().value() + "\n", StandardCharsets.UTF_8)
            .putBytes(part)
            .hash()
            .toString());
  }

  /**
   * Returns one hash per full block from the start of the prompt. Each hash covers the model and
   * all blocks up to and including its own. A partial last block has no hash.
   */
  static List<Long> prefixBlockHashes(GenerationInput input) {
    String field = input.chat() ? "messages" : "prompt";
    String text = input.body().path(field).toString();
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    List<Long> hashes = new ArrayList<>();
    long hash = BLOCK_HASH.hashString(input.model().value(), StandardCharsets.UTF_8).asLong();
    for (int offset = 0;
        offset + PREFIX_BLOCK_BYTES <= bytes.length;
        offset += PREFIX_BLOCK_BYTES) {
      hash =
          BLOCK_HASH
              .newHasher()
              .putLong(hash)
              .putBytes(bytes, offset, PREFIX_BLOCK_BYTES)
              .hash()
              .asLong();
      hashes.add(hash);
    }
    return hashes;
  }
}
