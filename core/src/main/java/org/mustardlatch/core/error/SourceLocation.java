package org.mustardlatch.core.error;

/**
 * A place in a text file.
 *
 * @param file name of the file as the user gave it
 * @param line 1 for the first line
 * @param column 1 for the first column
 */
public record SourceLocation(String file, int line, int column) implements Comparable<SourceLocation> {
  @Override
  public int compareTo(SourceLocation other) {
    return line != other.line
        ? Integer.compare(line, other.line)
        : Integer.compare(column, other.column);
  }

  @Override
  public String toString() {
    return file + ":" + line + ":" + column;
  }
}
