package org.mustardlatch.gateway.node;

import org.mustardlatch.gateway.GatewaySettings;

/** Adapts a node to a platform; found by {@link java.util.ServiceLoader}. */
public interface NodeAdapter {
  /** Returns whether a settings file is in the format of this platform. */
  boolean recognises(String settings);

  /**
   * Parses a settings file.
   *
   * @param file name of the file, for error messages
   * @param settings text of the file
   * @throws org.mustardlatch.core.error.MustardlatchException if the settings are invalid
   */
  GatewaySettings readSettings(String file, String settings);

  /**
   * Parses a settings file and creates the components that depend on the platform.
   *
   * @param file name of the file, for error messages
   * @param settings text of the file
   * @throws org.mustardlatch.core.error.MustardlatchException if the settings are invalid
   */
  PlatformComponents createComponents(String file, String settings);
}
