package org.mustardlatch.core.manifest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.toml.TomlSection;

/** The names that a manifest defines, to detect duplicate names and undefined references. */
final class DefinedNames {
  private final Map<String, Set<String>> namesByKind = new HashMap<>();

  /** Records a definition; adds a finding if the name is already defined for the same kind. */
  void define(TomlSection section, String kind, String key, String name) {
    if (!namesByKind.computeIfAbsent(kind, k -> new HashSet<>()).add(name)) {
      section.addFinding(
          "duplicate_name", key, kind + " \"" + name + "\" is defined twice", "rename one of them");
    }
  }

  /** Adds a finding if the name is not defined; does nothing if the reference is absent (null). */
  void checkReference(TomlSection section, String kind, String key, @Nullable String name) {
    if (name != null && !namesByKind.getOrDefault(kind, Set.of()).contains(name)) {
      section.addFinding(
          "unknown_reference",
          key,
          kind + " \"" + name + "\" is not defined in this manifest",
          "define it or correct its name");
    }
  }
}
