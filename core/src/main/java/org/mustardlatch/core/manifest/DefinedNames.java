package org.mustardlatch.core.manifest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.toml.TomlSection;

/** Names defined in a manifest, to find duplicates and references to nothing. */
final class DefinedNames {
  private final Map<String, Set<String>> namesByKind = new HashMap<>();

  /** Records a definition; a second one of the same kind and name is a finding. */
  void define(TomlSection section, String kind, String key, String name) {
    if (!namesByKind.computeIfAbsent(kind, k -> new HashSet<>()).add(name)) {
      section.addFinding(
          "duplicate_name", key, kind + " \"" + name + "\" is defined twice", "rename one of them");
    }
  }

  /** Adds a finding when the name was not defined; null stands for an absent reference. */
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
