package org.mustardlatch.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Fault switches of {@link ObjectServiceStandin}. In JSON the names are in snake case, and a
 * missing value means no fault.
 *
 * @param down closes every connection without an answer and without applying the call
 * @param delayMillis time added before a call is applied, milliseconds
 * @param dropAnswers how many of the next writes are applied while their answer is lost
 * @param writesPerSecond writes allowed in each second, more get 429; 0 means no limit
 * @param readsPerSecond reads allowed in each second, more get 429; 0 means no limit
 */
public record ObjectServiceFaults(
    @JsonProperty("down") boolean down,
    @JsonProperty("delay_ms") long delayMillis,
    @JsonProperty("drop_answers") int dropAnswers,
    @JsonProperty("writes_per_second") int writesPerSecond,
    @JsonProperty("reads_per_second") int readsPerSecond) {
  /** No fault. */
  public static final ObjectServiceFaults NONE = new ObjectServiceFaults(false, 0, 0, 0, 0);

  /** The service is gone. */
  public static final ObjectServiceFaults DOWN = new ObjectServiceFaults(true, 0, 0, 0, 0);

  /** Checks the ranges. */
  public ObjectServiceFaults {
    if (delayMillis < 0 || dropAnswers < 0 || writesPerSecond < 0 || readsPerSecond < 0) {
      throw new IllegalArgumentException("fault values must not be negative");
    }
  }

  /** Every call takes this much longer. */
  public static ObjectServiceFaults slow(long delayMillis) {
    return new ObjectServiceFaults(false, delayMillis, 0, 0, 0);
  }

  /** The next writes are applied, but their answers are lost. */
  public static ObjectServiceFaults lostAnswers(int count) {
    return new ObjectServiceFaults(false, 0, count, 0, 0);
  }

  /** More writes or reads in a second get 429. */
  public static ObjectServiceFaults limited(int writesPerSecond, int readsPerSecond) {
    return new ObjectServiceFaults(false, 0, 0, writesPerSecond, readsPerSecond);
  }
}
