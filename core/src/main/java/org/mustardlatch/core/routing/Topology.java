package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;

/** The cells and their admitting nodes, derived from one manifest and one set of live nodes. */
final class Topology {
  /** Mean number of engines per cell; one admitting node then manages about 320 slots. */
  static final int ENGINES_PER_CELL = 16;

  /** Identifies the engines of one model in one region. */
  private record ModelInRegion(ModelId model, RegionId region) {}

  private final Map<ModelId, Model> models = new HashMap<>();
  private final Map<ModelInRegion, List<Cell>> cellsByModelInRegion = new HashMap<>();
  private final Map<String, Cell> cells = new HashMap<>();
  private final Map<UpstreamId, Cell> cellByEngine = new HashMap<>();
  private final Set<UpstreamId> leaving = new HashSet<>();
  private final Map<UpstreamId, String> softwareVersions = new HashMap<>();
  private final List<RegionId> regions = new ArrayList<>();
  private final Map<HostId, Member> members = new HashMap<>();

  /** Ranked nodes by cell name, computed on first use. */
  private final Map<String, List<HostId>> admittingNodes = new HashMap<>();

  Topology(@Nullable Manifest manifest, List<Member> live) {
    live.forEach(m -> members.put(m.host(), m));
    if (manifest != null) {
      manifest.regions().forEach(r -> regions.add(r.id()));
      manifest.models().forEach(m -> models.put(m.id(), m));
      Map<ModelInRegion, List<Upstream>> engines = new HashMap<>();
      for (Upstream u : manifest.upstreams()) {
        if (u.leaving()) {
          leaving.add(u.id());
        }
        if (u.softwareVersion() != null) {
          softwareVersions.put(u.id(), u.softwareVersion());
        }
        RegionId region = manifest.regionOf(u.zone()).orElse(null);
        if (u.model() != null && region != null && models.containsKey(u.model())) {
          engines
              .computeIfAbsent(new ModelInRegion(u.model(), region), p -> new ArrayList<>())
              .add(u);
        }
      }
      engines.forEach(this::divideIntoCells);
    }
  }

  /** Divides the engines of a model into cells by hash, so that each engine has a stable cell. */
  private void divideIntoCells(ModelInRegion key, List<Upstream> engines) {
    int count = Math.ceilDiv(engines.size(), ENGINES_PER_CELL);
    List<List<Upstream>> enginesByCell = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      enginesByCell.add(new ArrayList<>());
    }
    for (Upstream u : engines) {
      enginesByCell.get(RendezvousHash.chooseIndex(u.id().value(), count)).add(u);
    }
    Model model = Objects.requireNonNull(models.get(key.model()));
    List<Cell> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = key.model() + "/" + key.region() + "/" + i;
      Cell cell = new Cell(name, model, key.region(), enginesByCell.get(i));
      cells.put(name, cell);
      enginesByCell.get(i).forEach(u -> cellByEngine.put(u.id(), cell));
      result.add(cell);
    }
    cellsByModelInRegion.put(key, List.copyOf(result));
  }

  /** Returns the model, or null if the manifest does not contain it. */
  @Nullable Model model(ModelId id) {
    return models.get(id);
  }

  /** Returns the cells of a model in a region; empty if it has no engine there. */
  List<Cell> cells(ModelId model, RegionId region) {
    return cellsByModelInRegion.getOrDefault(new ModelInRegion(model, region), List.of());
  }

  /** Returns all regions of the manifest. */
  List<RegionId> regions() {
    return regions;
  }

  /** Returns every cell. */
  Iterable<Cell> cells() {
    return cells.values();
  }

  /** Returns the cell with this name, or null. */
  @Nullable Cell cell(String name) {
    return cells.get(name);
  }

  /** Returns the cell of an engine, or null if the manifest has no such engine. */
  @Nullable Cell cellOfEngine(UpstreamId engine) {
    return cellByEngine.get(engine);
  }

  /** Returns whether an upstream is leaving (draining) by the manifest of this node. */
  boolean isLeaving(UpstreamId upstream) {
    return leaving.contains(upstream);
  }

  /** Returns the version of the software of an upstream; null if unknown. */
  @Nullable String softwareVersion(UpstreamId upstream) {
    return softwareVersions.get(upstream);
  }

  /** Returns the node if it is live, or null. */
  @Nullable Member member(HostId host) {
    return members.get(host);
  }

  /** Returns the live nodes. */
  Iterable<Member> members() {
    return members.values();
  }

  /** Returns the number of live nodes. */
  int memberCount() {
    return members.size();
  }

  /** Returns the number of live nodes in a region. */
  int memberCountIn(RegionId region) {
    return (int) members.values().stream().filter(m -> m.region().equals(region)).count();
  }

  /** Returns the live nodes of the cell's region in rank order; the first is the admitting node. */
  List<HostId> admittingNodes(Cell cell) {
    return admittingNodes.computeIfAbsent(
        cell.name(),
        name -> {
          List<HostId> hosts =
              members.values().stream()
                  .filter(m -> m.region().equals(cell.region()))
                  .map(Member::host)
                  .toList();
          return RendezvousHash.order(name, hosts, HostId::value);
        });
  }

  /** Returns the live nodes of all regions ranked for a key; the first is the owner of the key. */
  List<HostId> rankedOwners(String key) {
    return RendezvousHash.order(key, members.keySet(), HostId::value);
  }
}
