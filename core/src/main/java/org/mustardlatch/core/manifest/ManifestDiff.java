package org.mustardlatch.core.manifest;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The entries that differ between two manifests.
 *
 * @param changes the differences, in the order of the manifest's tables
 */
public record ManifestDiff(List<Change> changes) {
  /** Copies the list. */
  public ManifestDiff {
    changes = List.copyOf(changes);
  }

  /** How an entry differs. */
  public enum Kind {
    ADDED,
    REMOVED,
    CHANGED
  }

  /**
   * One entry that differs.
   *
   * @param entry table and name, for example {@code upstream decode-1}
   * @param before the entry in the first manifest; empty when it was added
   * @param after the entry in the second manifest; empty when it was removed
   */
  public record Change(Kind kind, String entry, String before, String after) {
    @Override
    public String toString() {
      return switch (kind) {
        case ADDED -> "+ " + entry + ": " + after;
        case REMOVED -> "- " + entry + ": " + before;
        case CHANGED -> "~ " + entry + ": " + before + " -> " + after;
      };
    }
  }

  /** Compares two manifests. */
  public static ManifestDiff compare(Manifest before, Manifest after) {
    Map<String, String> old = entries(before);
    Map<String, String> current = entries(after);
    List<Change> changes = new ArrayList<>();
    current.forEach(
        (entry, value) -> {
          String previous = old.get(entry);
          if (previous == null) {
            changes.add(new Change(Kind.ADDED, entry, "", value));
          } else if (!Objects.equals(previous, value)) {
            changes.add(new Change(Kind.CHANGED, entry, previous, value));
          }
        });
    old.forEach(
        (entry, value) -> {
          if (!current.containsKey(entry)) {
            changes.add(new Change(Kind.REMOVED, entry, value, ""));
          }
        });
    return new ManifestDiff(changes);
  }

  private static Map<String, String> entries(Manifest m) {
    Map<String, String> entries = new LinkedHashMap<>();
    entries.put("manifest name", m.name());
    entries.put("manifest objective", m.objective().toString());
    m.regions().forEach(r -> entries.put("region " + r.id(), r.toString()));
    entries.put("link", m.link().toString());
    m.workspaces().forEach(w -> entries.put("workspace " + w.id(), w.toString()));
    m.models().forEach(x -> entries.put("model " + x.id(), x.toString()));
    m.upstreams().forEach(u -> entries.put("upstream " + u.id(), u.toString()));
    m.routes().forEach(r -> entries.put("route " + r.methods() + " " + r.path(), r.toString()));
    entries.put("ledger", m.ledger().toString());
    entries.put("limits", m.limits().toString());
    return entries;
  }
}
