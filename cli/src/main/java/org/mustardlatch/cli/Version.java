package org.mustardlatch.cli;

/** Version of the command-line tool. */
final class Version {
  private static final String DEVELOPMENT_VERSION = "0.1.0";

  private Version() {}

  /** Returns the version of the jar, or the development version if run from class files. */
  static String current() {
    String version = Version.class.getPackage().getImplementationVersion();
    return version == null ? DEVELOPMENT_VERSION : version;
  }
}
