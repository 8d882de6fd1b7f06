package org.mustardlatch.core.model;

/**
 * Identifier of one attempt to run a request on upstreams. Only the current attempt of a request
 * may write output to the caller.
 *
 * @param request request that the attempt runs
 * @param number attempt number, starting at 1
 */
public record AttemptId(RequestId request, int number) {
  /** Throws {@link IllegalArgumentException} if the number is less than 1. */
  public AttemptId {
    if (number < 1) {
      throw new IllegalArgumentException("attempt number must be at least 1, got " + number);
    }
  }

  /** Returns the form that is sent to upstreams in headers, for example {@code 0193-ab.2}. */
  @Override
  public String toString() {
    return request.value() + "." + number;
  }
}
