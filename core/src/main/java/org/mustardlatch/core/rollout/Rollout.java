package org.mustardlatch.core.rollout;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.membership.RendezvousHash;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.peer.RolloutMessage;
import org.mustardlatch.core.peer.RolloutMessage.ConfigApplied;
import org.mustardlatch.core.peer.RolloutMessage.ConfigBody;
import org.mustardlatch.core.peer.RolloutMessage.ConfigFetch;
import org.mustardlatch.core.peer.RolloutMessage.ConfigOffer;
import org.mustardlatch.core.routing.Member;

/**
 * Distribution of the manifest in the view of one node (design section 4.7). The active revision
 * never decreases. Deterministic; not thread-safe.
 */
public final class Rollout {
  /** Expected interval between {@link RolloutEvent.Tick}s. */
  public static final Duration TICK_PERIOD = Duration.ofMillis(500);

  /** Number of nodes in each region that watch the object service. */
  public static final int WATCHERS = 3;

  private static final String WATCH_KEY = "watch";

  /**
   * Time without a response after which the revision is requested from another node that has it. It
   * allows eight attempts within the bound of 4 s; with 900 ms and 10% message loss a few nodes in
   * a thousand exceeded the bound.
   */
  private static final long FETCH_TIMEOUT = Duration.ofMillis(400).toNanos();

  private record Fetch(long revision, HostId from, long sentNanos) {
    boolean timedOut(long now) {
      return now - sentNanos >= FETCH_TIMEOUT;
    }
  }

  private final HostId self;
  private final Readiness readiness = new Readiness();

  /** Active revision by host; that of this node only as of its last acceptance check. */
  private final Map<HostId, Long> peerRevisions = new TreeMap<>();

  private MemberList members = new MemberList(List.of(), Set.of());
  private List<HostId> neighbours = List.of();

  /** Active revision; 0 for none. */
  private long revision;

  private String text = "";
  private String digest = "";

  /** Revision of a {@link RolloutCommand.Apply} whose result is not reported yet; 0 for none. */
  private long applyingRevision;

  private String applyingText = "";

  /** Highest revision that this node could not apply. */
  private long rejectedRevision;

  /** Revision that this node published and that is not accepted yet; 0 for none. */
  private long awaitedRevision;

  private @Nullable Fetch fetch;

  /**
   * Node that sent the revision being applied; null if it was read from the object service or
   * published by this node.
   */
  private @Nullable HostId applyingSource;

  private boolean watching;
  private boolean ready;

  /** Creates the state of a node that has no revision. */
  public Rollout(HostId self) {
    this.self = self;
  }

  /**
   * Handles one event.
   *
   * @param nowNanos current monotonic time, never less than in the previous call
   * @param out receives the resulting commands in order
   */
  public void handle(RolloutEvent event, long nowNanos, Consumer<RolloutCommand> out) {
    switch (event) {
      case RolloutEvent.Tick e -> retryFetch(nowNanos, out);
      case RolloutEvent.MessageReceived e -> handleMessage(e.from(), e.message(), nowNanos, out);
      case RolloutEvent.PeerRevisionReported e ->
          recordPeerRevision(e.from(), e.revision(), nowNanos, out);
      case RolloutEvent.MembersChanged e -> membersChanged(e, out);
      case RolloutEvent.StoreRead e -> {
        readiness.recordStoreRead(e.revision());
        apply(e.revision(), e.text(), null, out);
      }
      case RolloutEvent.Published e -> {
        awaitedRevision = Math.max(awaitedRevision, e.revision());
        apply(e.revision(), e.text(), null, out);
      }
      case RolloutEvent.Applied e -> applied(e.revision(), out);
      case RolloutEvent.Rejected e -> {
        rejectedRevision = Math.max(rejectedRevision, e.revision());
        applyingRevision = 0;
      }
    }
    checkAccepted(out);
    checkReady(nowNanos, out);
  }

  /** Returns the active revision; 0 for none. */
  public long revision() {
    return revision;
  }

  /** Returns the text of the active revision; empty for none. */
  public String text() {
    return text;
  }

  /** Returns whether the configuration of this node is recent enough to serve requests. */
  public boolean ready() {
    return ready;
  }

  /** Returns whether this node watches the object service. */
  public boolean watching() {
    return watching;
  }

  /** Returns the rollout state for a diagnostic dump. */
  public Map<String, Object> dump() {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("revision", revision);
    all.put("digest", digest);
    all.put("ready", ready);
    all.put("watching", watching);
    all.put("rejected", rejectedRevision);
    all.put("awaiting_acceptance", awaitedRevision);
    Map<String, Long> revisionByHost = new LinkedHashMap<>();
    peerRevisions.forEach((host, r) -> revisionByHost.put(host.value(), r));
    all.put("revisions", revisionByHost);
    return all;
  }

  private void handleMessage(
      HostId from, RolloutMessage message, long now, Consumer<RolloutCommand> out) {
    switch (message) {
      case ConfigOffer m -> recordPeerRevision(from, m.revision(), now, out);
      case ConfigApplied m -> recordPeerRevision(from, m.revision(), now, out);
      case ConfigFetch m -> {
        if (revision >= m.revision()) {
          out.accept(new RolloutCommand.Send(from, new ConfigBody(revision, text)));
        }
      }
      case ConfigBody m -> {
        readiness.recordPeerRevision(m.revision(), now);
        apply(m.revision(), m.text(), from, out);
      }
    }
  }

  /** Records the active revision of another node and fetches it if it is newer. */
  private void recordPeerRevision(
      HostId from, long peerRevision, long now, Consumer<RolloutCommand> out) {
    peerRevisions.put(from, peerRevision);
    readiness.recordPeerRevision(peerRevision, now);
    if (isNewRevision(peerRevision)
        && (fetch == null || fetch.revision() < peerRevision || fetch.timedOut(now))) {
      fetchFrom(from, peerRevision, now, out);
    }
  }

  private boolean isNewRevision(long peerRevision) {
    return peerRevision > revision
        && peerRevision > applyingRevision
        && peerRevision > rejectedRevision;
  }

  private void fetchFrom(HostId from, long peerRevision, long now, Consumer<RolloutCommand> out) {
    fetch = new Fetch(peerRevision, from, now);
    out.accept(new RolloutCommand.Send(from, new ConfigFetch(peerRevision)));
  }

  /** Requests the revision from another peer if a response is overdue. */
  private void retryFetch(long now, Consumer<RolloutCommand> out) {
    Fetch f = fetch;
    if (f == null) {
      return;
    }
    if (!isNewRevision(f.revision())) {
      fetch = null;
    } else if (f.timedOut(now)) {
      HostId next = nextHolder(f);
      if (next == null) {
        fetch = null;
      } else {
        fetchFrom(next, f.revision(), now, out);
      }
    }
  }

  /**
   * Returns the next host with the revision after the one that did not respond, or the first such
   * host; null if there is none.
   */
  private @Nullable HostId nextHolder(Fetch f) {
    List<HostId> holders =
        peerRevisions.entrySet().stream()
            .filter(e -> e.getValue() >= f.revision())
            .map(Map.Entry::getKey)
            .toList();
    return holders.stream()
        .filter(h -> h.compareTo(f.from()) > 0)
        .findFirst()
        .orElse(holders.isEmpty() ? null : holders.getFirst());
  }

  private void apply(long to, String newText, @Nullable HostId from, Consumer<RolloutCommand> out) {
    if (isNewRevision(to)) {
      applyingRevision = to;
      applyingText = newText;
      applyingSource = from;
      out.accept(new RolloutCommand.Apply(to, newText));
    }
  }

  private void applied(long to, Consumer<RolloutCommand> out) {
    if (to != applyingRevision || to <= revision) {
      return;
    }
    revision = to;
    text = applyingText;
    digest = Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    applyingRevision = 0;
    applyingText = "";
    HostId from = applyingSource;
    if (from != null) {
      out.accept(new RolloutCommand.Send(from, new ConfigApplied(to)));
    }
    for (HostId h : offerTargets()) {
      if (!h.equals(from) && peerRevisions.getOrDefault(h, 0L) < to) {
        out.accept(new RolloutCommand.Send(h, new ConfigOffer(to, digest)));
      }
    }
  }

  /**
   * Returns the hosts that are offered a new revision: the neighbours and, from the publisher, one
   * more node in each region that has no neighbour.
   */
  private Collection<HostId> offerTargets() {
    Set<HostId> targets = new LinkedHashSet<>(neighbours);
    if (awaitedRevision >= revision) {
      Map<RegionId, List<HostId>> byRegion = new TreeMap<>();
      for (Member m : members.members()) {
        byRegion.computeIfAbsent(m.region(), r -> new ArrayList<>()).add(m.host());
      }
      for (List<HostId> hosts : byRegion.values()) {
        if (hosts.stream().noneMatch(targets::contains)) {
          targets.addAll(RendezvousHash.rank(WATCH_KEY, hosts, 1));
        }
      }
    }
    targets.remove(self);
    return targets;
  }

  private void membersChanged(RolloutEvent.MembersChanged e, Consumer<RolloutCommand> out) {
    members = e.list();
    neighbours = e.neighbours();
    Set<HostId> live = new LinkedHashSet<>();
    members.members().forEach(m -> live.add(m.host()));
    peerRevisions.keySet().retainAll(live);
    boolean watch = watchers().contains(self);
    if (watch != watching) {
      watching = watch;
      out.accept(new RolloutCommand.WatchChanged(watch));
    }
  }

  /** Returns the nodes of this node's region that watch the object service. */
  private List<HostId> watchers() {
    RegionId region =
        members.members().stream()
            .filter(m -> m.host().equals(self))
            .map(Member::region)
            .findFirst()
            .orElse(null);
    List<HostId> hosts =
        members.members().stream()
            .filter(m -> m.region().equals(region))
            .map(Member::host)
            .toList();
    return RendezvousHash.rank(WATCH_KEY, hosts, WATCHERS);
  }

  private void checkAccepted(Consumer<RolloutCommand> out) {
    long awaited = awaitedRevision;
    if (awaited == 0 || revision < awaited) {
      return;
    }
    peerRevisions.put(self, revision);
    if (AcceptanceRule.isAccepted(awaited, members, peerRevisions)) {
      awaitedRevision = 0;
      out.accept(new RolloutCommand.Accepted(awaited));
    }
  }

  private void checkReady(long now, Consumer<RolloutCommand> out) {
    if (!ready && readiness.isReady(revision, now)) {
      ready = true;
      out.accept(new RolloutCommand.Ready(revision));
    }
  }
}
