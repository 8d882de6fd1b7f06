package org.mustardlatch.core.model;

/**
 * One attempt to run a request on upstreams. Only the current attempt of a request may write to its
 * caller.
 *
 * @param request the request
 * @param number 1 for the first attempt
 */
public record AttemptId(RequestId request, int number) {
  /** Checks the number; throws {@link IllegalArgumentException} when it is less than 1. */
  public AttemptId {
    if (number < 1) {
      throw new IllegalArgumentException("attempt number must be at least 1, got " + number);
    }
  }

  /** Returns the form used in upstream headers, for example {@code 0193-ab.2}. */
  @Override
  public String toString() {
    return request.value() + "." + number;
  }
}
