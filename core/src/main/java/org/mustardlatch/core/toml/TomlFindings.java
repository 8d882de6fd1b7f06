package org.mustardlatch.core.toml;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.Finding;
import org.mustardlatch.core.error.SourceLocation;
import org.tomlj.TomlPosition;

/** Collects the findings of one TOML file. */
public final class TomlFindings {
  private final String file;
  private final List<Finding> findings = new ArrayList<>();

  /**
   * Creates an empty collection.
   *
   * @param file name of the file as the user gave it
   */
  public TomlFindings(String file) {
    this.file = file;
  }

  /** Adds a finding; a missing position stands for the start of the file. */
  public void add(String code, @Nullable TomlPosition position, String message, String remedy) {
    int line = position == null ? 1 : position.line();
    int column = position == null ? 1 : position.column();
    findings.add(new Finding(code, new SourceLocation(file, line, column), message, remedy));
  }

  /** Returns the findings in the order in which they were added. */
  public List<Finding> all() {
    return List.copyOf(findings);
  }
}
