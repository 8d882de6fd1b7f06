package org.mustardlatch.core.error;

import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The result of parsing a file: either a value or the findings that make the file invalid.
 *
 * @param <T> type of the parsed value
 */
public final class ParseResult<T> {
  private final @Nullable T value;
  private final List<Finding> findings;

  private ParseResult(@Nullable T value, List<Finding> findings) {
    this.value = value;
    this.findings = findings;
  }

  /** Returns a valid result with the given value. */
  public static <T> ParseResult<T> valid(T value) {
    return new ParseResult<>(value, List.of());
  }

  /**
   * Returns an invalid result with the given findings, sorted by location.
   *
   * @param findings at least one finding
   */
  public static <T> ParseResult<T> invalid(List<Finding> findings) {
    if (findings.isEmpty()) {
      throw new IllegalArgumentException("an invalid result needs at least one finding");
    }
    List<Finding> sorted =
        findings.stream().sorted((a, b) -> a.location().compareTo(b.location())).toList();
    return new ParseResult<>(null, sorted);
  }

  /** Returns the findings, sorted by location; empty if the result is valid. */
  public List<Finding> findings() {
    return findings;
  }

  /** Returns whether the result has a value and no findings. */
  public boolean isValid() {
    return findings.isEmpty();
  }

  /**
   * Returns the parsed value.
   *
   * @throws MustardlatchException with the given code and one finding per line if the result is
   *     invalid
   */
  public T orThrow(ErrorCode code) {
    if (value == null) {
      throw new MustardlatchException(
          code, findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
    }
    return value;
  }
}
