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
 * The content of a manifest file.
 *
 * @param text text of the file
 * @param parseResult the parsed manifest, or its findings if it is invalid
 */
record ManifestFile(String text, ParseResult<Manifest> parseResult) {
  /**
   * Reads and parses a file.
   *
   * @throws CommandException if the file can't be read as UTF-8 text
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
          "specify a readable UTF-8 file",
          ExitCode.FAILED);
    }
    return new ManifestFile(text, ManifestParser.parse(file, text));
  }

  /** Returns the manifest, or prints every finding and returns null if the manifest is invalid. */
  @Nullable Manifest manifestOrPrintFindings(Console console) {
    parseResult
        .findings()
        .forEach(f -> console.error(f.code(), f.location().toString(), f.message(), f.remedy()));
    return parseResult.isValid() ? parseResult.orThrow(ErrorCode.MANIFEST_INVALID) : null;
  }
}
