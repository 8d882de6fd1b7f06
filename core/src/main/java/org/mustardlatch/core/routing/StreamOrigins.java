package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.peer.StreamMessage;
import org.mustardlatch.core.peer.StreamMessage.OriginRequest;
import org.mustardlatch.core.peer.StreamMessage.OriginResponse;
import org.mustardlatch.core.peer.StreamMessage.StreamBegan;

/**
 * Knows which software version of the engines began a stream, so that a caller can resume it at any
 * node. The entry node of a stream tells some other nodes, its keepers, before the stream begins;
 * rendezvous hashing of the stream chooses them, so that another node can ask them.
 */
final class StreamOrigins {
  static final String TIMER_KIND = "origin";

  /** Time for which an origin is kept, longer than callers wait for a whole stream. */
  static final long LIFETIME_NANOS = 60_000_000_000L;

  /** Number of keepers in the region of the entry node, if it has as many other nodes. */
  static final int LOCAL_KEEPERS = 2;

  /** Number of keepers in each other region. */
  static final int REMOTE_KEEPERS = 1;

  // More than there are keepers: nodes that have started since then rank before the keepers.
  private static final int ASKED_PER_REGION = 4;

  private static final int MAX_ORIGINS = 20_000;

  // Some round trips between two regions.
  private static final long RESPONSE_TIMEOUT_NANOS = 300_000_000;

  /** What is known about the version that began a stream. */
  sealed interface Origin {
    /** The stream began at this software version. */
    record Known(String engineVersion) implements Origin {}

    /**
     * No node that responded knows it.
     *
     * @param severalVersions whether engines of several software versions may have served lately,
     *     so that it may have begun at any of them
     */
    record Unknown(boolean severalVersions) implements Origin {}
  }

  private record KnownOrigin(String engineVersion, long recordedNanos) {}

  /** A request that waits for the origin of its stream. */
  private static final class Lookup {
    final Fingerprint stream;
    final ModelId model;
    final Set<HostId> asked;
    final Set<HostId> unanswered;
    final Consumer<Origin> receiver;

    /** Whether a node that responded has lately seen several software versions. */
    boolean severalVersions;

    Lookup(Fingerprint stream, ModelId model, List<HostId> asked, Consumer<Origin> receiver) {
      this.stream = stream;
      this.model = model;
      this.asked = new HashSet<>(asked);
      this.unanswered = new HashSet<>(asked);
      this.receiver = receiver;
    }
  }

  private final CommandCollector commands;
  private final RegionId region;
  private final SoftwareVersions versions = new SoftwareVersions();

  /** Origins in the order in which they were recorded. */
  private final Map<Fingerprint, KnownOrigin> origins = new LinkedHashMap<>();

  private final Map<String, Lookup> lookups = new HashMap<>();
  private Topology topology;

  StreamOrigins(CommandCollector commands, RegionId region, Topology topology) {
    this.commands = commands;
    this.region = region;
    this.topology = topology;
  }

  void topologyChanged(Topology next) {
    topology = next;
    versions.update(next, commands.now());
    lookups.values().forEach(this::askNodesThatHaveJoined);
  }

  private void askNodesThatHaveJoined(Lookup lookup) {
    for (HostId host : ranked(lookup.stream, ASKED_PER_REGION, ASKED_PER_REGION)) {
      if (lookup.asked.add(host)) {
        lookup.unanswered.add(host);
        commands.send(host, new OriginRequest(lookup.stream, lookup.model));
      }
    }
  }

  /** Returns the software version of the engines of a model; null if there are several or none. */
  @Nullable String onlyVersion(ModelId model) {
    return versions.onlyVersion(model, commands.now());
  }

  /** Records that an engine of this version is about to begin a stream, and tells the keepers. */
  void began(Fingerprint stream, String engineVersion) {
    record(stream, engineVersion);
    for (HostId keeper : ranked(stream, LOCAL_KEEPERS, REMOTE_KEEPERS)) {
      commands.send(keeper, new StreamBegan(stream, engineVersion));
    }
  }

  private void record(Fingerprint stream, String engineVersion) {
    // A later engine replaces one that has failed before its first event.
    origins.remove(stream);
    origins.put(stream, new KnownOrigin(engineVersion, commands.now()));
    if (origins.size() > MAX_ORIGINS) {
      origins.remove(origins.keySet().iterator().next());
    }
  }

  /** Returns the first nodes of each region in rank order for a stream, without this node. */
  private List<HostId> ranked(Fingerprint stream, int local, int remote) {
    Map<RegionId, Integer> left = new HashMap<>();
    List<HostId> result = new ArrayList<>();
    for (HostId host : topology.rankedOwners(stream.value())) {
      Member m = topology.member(host);
      if (m != null && !host.equals(commands.self())) {
        int limit = m.region().equals(region) ? local : remote;
        if (left.merge(m.region(), 1, Integer::sum) <= limit) {
          result.add(host);
        }
      }
    }
    return result;
  }

  /**
   * Finds the version that began a stream.
   *
   * @param id request that resumes the stream
   * @param stream null if the caller does not say which one it is
   * @param receiver called once, now or later, unless the lookup is cancelled
   */
  void find(RequestId id, @Nullable Fingerprint stream, ModelId model, Consumer<Origin> receiver) {
    KnownOrigin known = stream == null ? null : origins.get(stream);
    if (known != null) {
      receiver.accept(new Origin.Known(known.engineVersion()));
      return;
    }
    List<HostId> asked =
        stream == null ? List.of() : ranked(stream, ASKED_PER_REGION, ASKED_PER_REGION);
    if (stream == null || asked.isEmpty()) {
      receiver.accept(new Origin.Unknown(mayBeSeveral(model)));
      return;
    }
    lookups.put(id.value(), new Lookup(stream, model, asked, receiver));
    asked.forEach(h -> commands.send(h, new OriginRequest(stream, model)));
    commands.setTimer(TIMER_KIND, id.value(), commands.now() + RESPONSE_TIMEOUT_NANOS);
  }

  /** Returns whether several versions may have served: a new node has not seen the engines yet. */
  private boolean mayBeSeveral(ModelId model) {
    return versions.several(model, commands.now()) || !versions.hasListed(model);
  }

  private Origin unknown(Lookup lookup) {
    return new Origin.Unknown(lookup.severalVersions || mayBeSeveral(lookup.model));
  }

  /** Forgets the lookup of a request that has ended. */
  void cancel(RequestId id) {
    if (lookups.remove(id.value()) != null) {
      cancelTimer(id.value());
    }
  }

  private void cancelTimer(String id) {
    commands.emit(new RoutingCommand.CancelTimer(new TimerKey(TIMER_KIND, id)));
  }

  /** Ends a lookup to which some nodes have not responded. */
  void timerFired(String id) {
    Lookup l = lookups.remove(id);
    if (l != null) {
      l.receiver.accept(unknown(l));
    }
  }

  /** Handles a message of another node. */
  void handle(HostId from, StreamMessage message) {
    switch (message) {
      case StreamBegan m -> record(m.stream(), m.engineVersion());
      case OriginRequest m -> {
        KnownOrigin known = origins.get(m.stream());
        commands.send(
            from,
            new OriginResponse(
                m.stream(),
                known == null ? null : known.engineVersion(),
                versions.several(m.model(), commands.now())));
      }
      case OriginResponse m -> responseReceived(from, m);
    }
  }

  private void responseReceived(HostId from, OriginResponse response) {
    String version = response.engineVersion();
    if (version != null && !origins.containsKey(response.stream())) {
      record(response.stream(), version);
    }
    for (String id : List.copyOf(lookups.keySet())) {
      Lookup l = lookups.get(id);
      if (l != null && l.stream.equals(response.stream())) {
        l.unanswered.remove(from);
        l.severalVersions |= response.severalVersions();
        if (version != null) {
          finish(id, l, new Origin.Known(version));
        } else if (l.unanswered.isEmpty()) {
          finish(id, l, unknown(l));
        }
      }
    }
  }

  private void finish(String id, Lookup lookup, Origin origin) {
    lookups.remove(id);
    cancelTimer(id);
    lookup.receiver.accept(origin);
  }

  /** Drops origins that are too old to be of use. */
  void tick() {
    Iterator<KnownOrigin> oldest = origins.values().iterator();
    while (oldest.hasNext() && commands.now() - oldest.next().recordedNanos() >= LIFETIME_NANOS) {
      oldest.remove();
    }
  }

  /** The software versions of the engines of each model that are registered or were lately. */
  private static final class SoftwareVersions {
    private static final long STILL_REGISTERED = Long.MAX_VALUE;

    /** Time until which each version was registered. */
    private final Map<ModelId, Map<String, Long>> lastSeen = new HashMap<>();

    /** Models of which an engine has been registered, whether it states a version or not. */
    private final Set<ModelId> listed = new HashSet<>();

    void update(Topology topology, long now) {
      lastSeen.values().forEach(m -> m.replaceAll((v, t) -> t == STILL_REGISTERED ? now : t));
      for (Cell c : topology.cells()) {
        for (Upstream e : c.engines()) {
          listed.add(c.model().id());
          String version = e.softwareVersion();
          if (version != null) {
            lastSeen
                .computeIfAbsent(c.model().id(), m -> new HashMap<>())
                .put(version, STILL_REGISTERED);
          }
        }
      }
    }

    private Set<String> recent(ModelId model, long now) {
      Map<String, Long> seen = lastSeen.getOrDefault(model, Map.of());
      Set<String> result = new HashSet<>();
      seen.forEach(
          (v, t) -> {
            if (t == STILL_REGISTERED || now - t < LIFETIME_NANOS) {
              result.add(v);
            }
          });
      return result;
    }

    boolean hasListed(ModelId model) {
      return listed.contains(model);
    }

    boolean several(ModelId model, long now) {
      return recent(model, now).size() > 1;
    }

    @Nullable String onlyVersion(ModelId model, long now) {
      Set<String> recent = recent(model, now);
      return recent.size() == 1 ? recent.iterator().next() : null;
    }
  }
}
