package org.mustardlatch.core.error;

import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The outcome of reading a file: a value, or the findings that make it unusable.
 *
 * @param <T> type of the value
 */
public final class ParseResult<T> {
  private final @Nullable T value;
  private final List<Finding> findings;

  private ParseResult(@Nullable T value, List<Finding> findings) {
    this.value = value;
    this.findings = findings;
  }

  /** Returns a result that holds a usable value. */
  public static <T> ParseResult<T> valid(T value) {
    return new ParseResult<>(value, List.of());
  }

  /**
   * Returns a result that holds findings only, sorted by place.
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

  /** Returns the findings, sorted by place; empty when the value is usable. */
  public List<Finding> findings() {
    return findings;
  }

  /** Returns whether there is a usable value. */
  public boolean isValid() {
    return findings.isEmpty();
  }

  /**
   * Returns the value.
   *
   * @throws MustardlatchException with the given code and all findings when there is no value
   */
  public T orThrow(ErrorCode code) {
    if (value == null) {
      throw new MustardlatchException(
          code, findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
    }
    return value;
  }
}
