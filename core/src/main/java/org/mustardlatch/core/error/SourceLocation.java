package org.mustardlatch.core.error;

/**
 * A position in a text file. Locations are ordered by line and column; the file name is not
 * compared.
 *
 * @param file name of the file as the user specified it
 * @param line line number, starting at 1
 * @param column column number, starting at 1
 */
public record SourceLocation(String file, int line, int column)
    implements Comparable<SourceLocation> {
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
