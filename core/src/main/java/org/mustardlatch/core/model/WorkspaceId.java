package org.mustardlatch.core.model;

/**
 * Name of a workspace, the unit to which rate limits and fair queueing apply.
 *
 * @param value 1 to 63 characters: lower-case letters, digits, dots, underscores and hyphens; the
 *     first is a letter or a digit
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
  /** Throws {@link IllegalArgumentException} if the value is not a valid name. */
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
