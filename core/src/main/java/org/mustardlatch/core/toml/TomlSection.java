package org.mustardlatch.core.toml;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reader of one table of a TOML file. Each read of a key checks the type and range of its value. An
 * invalid value adds a finding and the read returns a fallback value, so that one pass finds all
 * faults of a file.
 */
public final class TomlSection {
  private final String name;
  private final TomlTable table;
  private final @Nullable TomlPosition position;
  private final TomlFindings findings;
  private final Set<String> readKeys = new HashSet<>();

  private TomlSection(
      String name, TomlTable table, @Nullable TomlPosition position, TomlFindings findings) {
    this.name = name;
    this.table = table;
    this.position = position;
    this.findings = findings;
  }

  /** Parses a whole file; each syntax error adds a finding with the code {@code toml_syntax}. */
  public static TomlSection parse(String text, TomlFindings findings) {
    TomlParseResult result = parseNested(text, findings);
    result
        .errors()
        .forEach(
            e ->
                findings.add(
                    "toml_syntax",
                    e.position(),
                    String.valueOf(e.getMessage()),
                    "correct the TOML syntax"));
    return new TomlSection("file", result, TomlPosition.positionAt(1, 1), findings);
  }

  private static TomlParseResult parseNested(String text, TomlFindings findings) {
    try {
      return Toml.parse(text);
    } catch (StackOverflowError e) {
      // The parser descends by recursion and has no limit of its own.
      findings.add("toml_syntax", null, "values are nested too deeply", "remove levels of nesting");
      return Toml.parse("");
    }
  }

  /** Returns the position of a key, or of the start of the table if the key is absent. */
  public @Nullable TomlPosition positionOf(String key) {
    TomlPosition p = table.inputPositionOf(List.of(key));
    return p == null ? position : p;
  }

  /** Returns whether the key is present. */
  public boolean has(String key) {
    return table.contains(List.of(key));
  }

  /** Adds a finding at the position of a key. */
  public void addFinding(String code, String key, String message, String remedy) {
    findings.add(code, positionOf(key), message, remedy);
  }

  /** Reads a table; returns an empty section if the key is absent or after a finding. */
  public TomlSection section(String key) {
    Object value = readValue(key);
    if (value instanceof TomlTable t) {
      return new TomlSection(key, t, positionOf(key), findings);
    }
    if (value != null) {
      reportWrongType(key, "a table");
    }
    return new TomlSection(key, Toml.parse(""), position, findings);
  }

  /** Reads an array of tables; elements of another type add a finding and are left out. */
  public List<TomlSection> sections(String key) {
    Object value = readValue(key);
    List<TomlSection> sections = new ArrayList<>();
    if (value == null) {
      return sections;
    }
    if (!(value instanceof TomlArray array)) {
      reportWrongType(key, "an array of tables");
      return sections;
    }
    for (int i = 0; i < array.size(); i++) {
      if (array.get(i) instanceof TomlTable t) {
        sections.add(new TomlSection(key, t, array.inputPositionOf(i), findings));
      } else {
        reportWrongType(key, "an array of tables");
      }
    }
    return sections;
  }

  /** Reads a required string; returns an empty string after a finding. */
  public String requiredString(String key) {
    String value = string(key, "");
    if (!has(key)) {
      reportMissing(key);
    }
    return value;
  }

  /** Reads a string; returns the default if the key is absent or after a finding. */
  public String string(String key, String defaultValue) {
    Object value = readValue(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof String s) {
      return s;
    }
    reportWrongType(key, "a string");
    return defaultValue;
  }

  /**
   * Reads a required string and converts it; returns null after a finding.
   *
   * @param conversion throws {@link IllegalArgumentException} for an invalid value, which adds a
   *     finding with the message of the exception
   */
  public <T> @Nullable T required(String key, Function<String, T> conversion) {
    String text = requiredString(key);
    return has(key) ? convert(key, text, conversion) : null;
  }

  /**
   * Reads a string and converts it; returns null if the key is absent or after a finding.
   *
   * @param conversion throws {@link IllegalArgumentException} for an invalid value, as in {@link
   *     #required}
   */
  public <T> @Nullable T optional(String key, Function<String, T> conversion) {
    String text = string(key, "");
    return has(key) ? convert(key, text, conversion) : null;
  }

  /** Reads an array of strings; elements of another type add a finding and are left out. */
  public List<String> strings(String key) {
    Object value = readValue(key);
    List<String> strings = new ArrayList<>();
    if (value == null) {
      return strings;
    }
    if (!(value instanceof TomlArray array)) {
      reportWrongType(key, "an array of strings");
      return strings;
    }
    for (int i = 0; i < array.size(); i++) {
      if (array.get(i) instanceof String s) {
        strings.add(s);
      } else {
        reportWrongType(key, "an array of strings");
      }
    }
    return strings;
  }

  /**
   * Reads an array of strings and converts each; invalid elements add a finding and are left out.
   */
  public <T> List<T> convertedStrings(String key, Function<String, T> conversion) {
    List<T> values = new ArrayList<>();
    for (String s : strings(key)) {
      T value = convert(key, s, conversion);
      if (value != null) {
        values.add(value);
      }
    }
    return values;
  }

  /** Reads a required integer from min to max; returns min after a finding. */
  public long requiredInteger(String key, long min, long max) {
    if (!has(key)) {
      readKeys.add(key);
      reportMissing(key);
      return min;
    }
    return integer(key, min, max, min);
  }

  /** Reads an integer from min to max; returns the default if absent or after a finding. */
  public long integer(String key, long min, long max, long defaultValue) {
    Object value = readValue(key);
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Long n)) {
      reportWrongType(key, "an integer");
      return defaultValue;
    }
    if (n < min || n > max) {
      reportOutOfRange(key, n, min, max);
      return defaultValue;
    }
    return n;
  }

  /** Reads a number from min to max; returns the default if absent or after a finding. */
  public double number(String key, double min, double max, double defaultValue) {
    Object value = readValue(key);
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Number n)) {
      reportWrongType(key, "a number");
      return defaultValue;
    }
    double d = n.doubleValue();
    if (!(d >= min && d <= max)) {
      reportOutOfRange(key, n, min, max);
      return defaultValue;
    }
    return d;
  }

  /** Reads a boolean; returns the default if the key is absent or after a finding. */
  public boolean bool(String key, boolean defaultValue) {
    Object value = readValue(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Boolean b) {
      return b;
    }
    reportWrongType(key, "true or false");
    return defaultValue;
  }

  /** Adds a finding for every key of the table that no read method was called with. */
  public void rejectUnknownKeys() {
    for (String key : table.keySet()) {
      if (!readKeys.contains(key)) {
        addFinding(
            "unknown_key",
            key,
            "unknown key \"" + key + "\" in " + name,
            "remove it or correct its spelling");
      }
    }
  }

  /** Returns the value of a key, or null if it is absent, and records the key as read. */
  private @Nullable Object readValue(String key) {
    readKeys.add(key);
    return table.get(List.of(key));
  }

  private <T> @Nullable T convert(String key, String text, Function<String, T> conversion) {
    try {
      return conversion.apply(text);
    } catch (IllegalArgumentException e) {
      addFinding("invalid_value", key, key + ": " + e.getMessage(), "correct the value");
      return null;
    }
  }

  private void reportMissing(String key) {
    addFinding("missing_key", key, "key \"" + key + "\" is missing in " + name, "add the key");
  }

  private void reportWrongType(String key, String expected) {
    addFinding("wrong_type", key, key + " must be " + expected, "correct the value");
  }

  private void reportOutOfRange(String key, Number value, Number min, Number max) {
    addFinding(
        "out_of_range",
        key,
        key + " is " + value + ", must be from " + min + " to " + max,
        "choose a value in the range");
  }
}
