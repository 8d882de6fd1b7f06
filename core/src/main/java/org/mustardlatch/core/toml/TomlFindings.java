package org.mustardlatch.core.toml;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.Finding;
import org.mustardlatch.core.error.SourceLocation;
import org.tomlj.TomlPosition;

/** Collects the faults that are found in one TOML file. Not thread-safe. */
public final class TomlFindings {
  private final String file;
  private final List<Finding> findings = new ArrayList<>();

  /**
   * Creates an empty collection.
   *
   * @param file name of the file as the user specified it
   */
  public TomlFindings(String file) {
    this.file = file;
  }

  /**
   * Adds a finding.
   *
   * @param code stable name of the violated rule
   * @param position position of the fault; null stands for the start of the file
   * @param message description of the fault
   * @param remedy how to correct the fault
   */
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
