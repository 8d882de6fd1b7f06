package org.mustardlatch.replay;

import java.util.Arrays;
import java.util.Locale;

/** Median, least and greatest of a measure over several seeds. */
record Spread(double least, double median, double most) {
  static Spread of(double... values) {
    if (values.length == 0) {
      throw new IllegalArgumentException("a spread needs at least one value");
    }
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return new Spread(sorted[0], sorted[sorted.length / 2], sorted[sorted.length - 1]);
  }

  /** Returns the median with the range in brackets, each with this many decimals. */
  String text(int decimals) {
    String low = number(least, decimals);
    String high = number(most, decimals);
    String middle = number(median, decimals);
    return low.equals(high) ? middle : middle + " (" + low + "–" + high + ")";
  }

  private static String number(double value, int decimals) {
    return String.format(Locale.ROOT, "%." + decimals + "f", value);
  }
}
