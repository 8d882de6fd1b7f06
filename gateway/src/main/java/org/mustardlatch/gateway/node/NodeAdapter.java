package org.mustardlatch.gateway.node;

/** Connects a node with a platform; found by {@link java.util.ServiceLoader}. */
public interface NodeAdapter {
  /** Returns whether a settings file is in the format of this platform. */
  boolean recognises(String settings);

  /**
   * Reads a settings file.
   *
   * @param file its name, for messages
   * @param settings its text
   * @throws org.mustardlatch.core.error.MustardlatchException if it can't be used
   */
  PlatformComponents createComponents(String file, String settings);
}
