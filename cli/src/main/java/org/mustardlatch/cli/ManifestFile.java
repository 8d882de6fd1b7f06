package org.mustardlatch.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.ParseResult;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.ManifestParser;

/**
 * A manifest file that was read.
 *
 * @param text its text
 * @param parseResult the manifest or its findings
 */
record ManifestFile(String text, ParseResult<Manifest> parseResult) {
  /**
   * Reads a file.
   *
   * @throws CommandException when the file can't be read as UTF-8 text
   */
  static ManifestFile read(String file) {
    String text;
    try {
      text = Files.readString(Path.of(file), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new CommandException(
          "unreadable_file",
          file,
          "cannot read the file: " + e,
          "give a readable file in UTF-8",
          ExitCode.FAILED);
    }
    return new ManifestFile(text, ManifestParser.parse(file, text));
  }

  /** Prints every finding; returns the manifest, or null when there are findings. */
  @Nullable Manifest manifestOrPrintFindings(Console console) {
    parseResult
        .findings()
        .forEach(f -> console.error(f.code(), f.location().toString(), f.message(), f.remedy()));
    return parseResult.isValid() ? parseResult.orThrow(ErrorCode.MANIFEST_INVALID) : null;
  }
}
