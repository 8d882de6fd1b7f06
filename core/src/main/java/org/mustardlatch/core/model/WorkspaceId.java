package org.mustardlatch.core.model;

/**
 * Name of a workspace, the unit of limits and fairness.
 *
 * @param value 1 to 63 characters of lower-case letters, digits, dot, underscore and hyphen
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
  /** Checks the value; throws {@link IllegalArgumentException} when it is not a valid name. */
  public WorkspaceId {
    Identifiers.checkName("workspace", value);
  }

  @Override
  public int compareTo(WorkspaceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
