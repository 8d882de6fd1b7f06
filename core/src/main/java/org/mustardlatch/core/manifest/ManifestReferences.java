package org.mustardlatch.core.manifest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.toml.TomlSection;

/** Names defined in a manifest, to find duplicates and references to nothing. */
final class ManifestReferences {
  private final Map<String, Set<String>> defined = new HashMap<>();

  /** Records a definition; a second one of the same kind and name is a finding. */
  void define(TomlSection section, String kind, String key, String name) {
    if (!defined.computeIfAbsent(kind, k -> new HashSet<>()).add(name)) {
      section.finding(
          "duplicate_name", key, kind + " \"" + name + "\" is defined twice", "rename one of them");
    }
  }

  /** Adds a finding when the name was not defined; null stands for an absent reference. */
  void check(TomlSection section, String kind, String key, @Nullable String name) {
    if (name != null && !defined.getOrDefault(kind, Set.of()).contains(name)) {
      section.finding(
          "unknown_reference",
          key,
          kind + " \"" + name + "\" is not defined in this manifest",
          "define it or correct its name");
    }
  }
}
