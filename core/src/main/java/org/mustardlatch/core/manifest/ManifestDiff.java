package org.mustardlatch.core.manifest;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The differences between two manifests, entry by entry.
 *
 * @param changes added and changed entries in the order of the tables of the manifest, then removed
 *     entries in the same order
 */
public record ManifestDiff(List<Change> changes) {
  /** Makes a defensive copy of the list. */
  public ManifestDiff {
    changes = List.copyOf(changes);
  }

  /** The kinds of differences. */
  public enum Kind {
    ADDED,
    REMOVED,
    CHANGED
  }

  /**
   * One entry that differs. The string form, which operators see, shows the entries in full, with
   * the component names of their record types.
   *
   * @param kind kind of the difference
   * @param entry table and name, for example {@code upstream decode-1}
   * @param before the entry in the first manifest; empty if it was added
   * @param after the entry in the second manifest; empty if it was removed
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

  /** Returns the differences from one manifest to another. */
  public static ManifestDiff compare(Manifest before, Manifest after) {
    Map<String, String> beforeEntries = entries(before);
    Map<String, String> afterEntries = entries(after);
    List<Change> changes = new ArrayList<>();
    afterEntries.forEach(
        (entry, value) -> {
          String previous = beforeEntries.get(entry);
          if (previous == null) {
            changes.add(new Change(Kind.ADDED, entry, "", value));
          } else if (!Objects.equals(previous, value)) {
            changes.add(new Change(Kind.CHANGED, entry, previous, value));
          }
        });
    beforeEntries.forEach(
        (entry, value) -> {
          if (!afterEntries.containsKey(entry)) {
            changes.add(new Change(Kind.REMOVED, entry, value, ""));
          }
        });
    return new ManifestDiff(changes);
  }

  /** Returns the string form of each entry of a manifest by its table and name. */
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
