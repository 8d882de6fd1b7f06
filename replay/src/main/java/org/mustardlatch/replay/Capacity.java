package org.mustardlatch.replay;

import java.util.LinkedHashMap;
import java.util.Map;
import org.mustardlatch.core.model.RegionId;

/**
 * Requests a second that the engines of a region can carry with all decode slots taken. Prefill
 * engines carry their rate over the mean prompt; a decode engine carries its slots over the time of
 * a mean answer at full batch. A region carries the lesser of both.
 */
final class Capacity {
  private static final int SLOTS = User.SLOTS;

  private Capacity() {}

  static Map<RegionId, Double> byRegion(User user) {
    Map<RegionId, Integer> prefill = new LinkedHashMap<>();
    Map<RegionId, Integer> decode = new LinkedHashMap<>();
    for (User.Site s : user.sites()) {
      prefill.merge(s.regionId(), s.prefill(), Integer::sum);
      decode.merge(s.regionId(), s.decode(), Integer::sum);
    }
    Map<RegionId, Double> result = new LinkedHashMap<>();
    prefill.forEach(
        (region, n) -> {
          double decodes = decode.getOrDefault(region, 0) * decodeRate(user.shape());
          result.put(region, Math.min(n * prefillRate(user.shape()), decodes));
        });
    return result;
  }

  /** Returns requests a second of the whole deployment. */
  static double total(User user) {
    return byRegion(user).values().stream().mapToDouble(Double::doubleValue).sum();
  }

  private static double prefillRate(User.Shape shape) {
    return (double) shape.prefillTokensPerSecond() / shape.promptTokens();
  }

  private static double decodeRate(User.Shape shape) {
    return SLOTS * 1000 / (shape.outputTokens() * DecodeSide.stepMs(SLOTS, SLOTS));
  }
}
