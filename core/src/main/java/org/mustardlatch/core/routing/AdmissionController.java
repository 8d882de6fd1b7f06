package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.AdmissionMessage;
import org.mustardlatch.core.peer.AdmissionMessage.CellSummary;
import org.mustardlatch.core.peer.AdmissionMessage.ReservationRelease;
import org.mustardlatch.core.peer.AdmissionMessage.ReservationRenew;
import org.mustardlatch.core.peer.AdmissionMessage.Reserve;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveDecode;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveRefused;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveWithdraw;

/**
 * Keeps a {@link CellAdmission} for each cell that is assigned to this node as its admitting node,
 * and passes it the messages of entry nodes and the reports of engines. Called by {@link
 * NodeRouter}.
 */
final class AdmissionController {
  // A node with another view of the membership may send requests for a cell that is assigned to
  // another node. Such a cell is dropped after this idle time.
  private static final long UNASSIGNED_CELL_IDLE_NANOS = 30_000_000_000L;
  private static final long UNKNOWN_CELL_RETRY_NANOS = 500_000_000;

  private final CommandCollector commands;
  private final CellAdmission.Environment environment;
  private final CrashListener crashListener;
  private final Map<String, CellAdmission> admissions = new HashMap<>();
  private final UnavailableUpstreams unavailableUpstreams;
  private Topology topology;

  AdmissionController(
      CellAdmission.Environment environment,
      CrashListener crashListener,
      UnavailableUpstreams unavailableUpstreams,
      Topology topology) {
    this.commands = environment.commands();
    this.environment = environment;
    this.crashListener = crashListener;
    this.unavailableUpstreams = unavailableUpstreams;
    this.topology = topology;
  }

  /**
   * Takes over the cells that are now assigned to this node, drops all others, and frees the
   * reservations of nodes that are no longer live.
   */
  void topologyChanged(Topology next) {
    topology = next;
    admissions.values().removeIf(c -> !shouldKeep(c));
    for (Cell cell : next.cells()) {
      if (admitsTo(cell)) {
        getOrCreateAdmission(cell).cellChanged(cell);
      }
    }
    for (CellAdmission c : admissions.values()) {
      c.removeReservationsOfDeadNodes(h -> next.member(h) != null);
    }
  }

  private boolean shouldKeep(CellAdmission admission) {
    Cell cell = topology.cell(admission.cell().name());
    return cell != null && admitsTo(cell);
  }

  private boolean admitsTo(Cell cell) {
    List<HostId> nodes = topology.admittingNodes(cell);
    return !nodes.isEmpty() && nodes.getFirst().equals(commands.self());
  }

  private CellAdmission getOrCreateAdmission(Cell cell) {
    CellAdmission c = admissions.get(cell.name());
    if (c == null) {
      c = new CellAdmission(cell, environment, crashListener, unavailableUpstreams);
      admissions.put(cell.name(), c);
    }
    return c;
  }

  /** Handles a message of an entry node to the admitting node of a cell. */
  void handle(HostId from, AdmissionMessage message) {
    switch (message) {
      case Reserve r -> {
        CellAdmission c = findOrCreateAdmission(r.cell());
        if (c == null) {
          refuseUnknownCell(from, r);
        } else {
          c.reserve(ReservationRequest.of(r, from, commands.now()));
        }
      }
      case ReserveDecode r -> {
        CellAdmission c = findOrCreateAdmission(r.cell());
        if (c != null) {
          c.reserve(ReservationRequest.of(r, from, commands.now()));
        }
      }
      case ReserveWithdraw w -> {
        CellAdmission c = admissions.get(w.cell());
        if (c != null) {
          c.withdraw(w.attempt());
        }
      }
      case ReservationRenew r -> {
        CellAdmission c = findOrCreateAdmission(r.cell());
        if (c != null) {
          c.renew(from, r);
        }
      }
      case ReservationRelease r -> {
        CellAdmission c = admissions.get(r.cell());
        if (c != null) {
          c.release(r);
        }
      }
      default ->
          throw new IllegalArgumentException("not a message to an admitting node: " + message);
    }
  }

  /** Refuses a request for a cell that the manifest of this node does not have yet. */
  private void refuseUnknownCell(HostId from, Reserve r) {
    CellSummary noCapacity = new CellSummary(r.cell(), 0, Long.MAX_VALUE / 4);
    commands.send(
        from,
        new ReserveRefused(
            r.attempt(), ErrorCode.UPSTREAM_UNAVAILABLE, UNKNOWN_CELL_RETRY_NANOS, noCapacity));
  }

  /**
   * Returns the admission of a cell, or null if the manifest has no such cell. Creates it also when
   * this node is not the admitting node, since the sender may have another view of the membership.
   */
  private @Nullable CellAdmission findOrCreateAdmission(String name) {
    CellAdmission existing = admissions.get(name);
    if (existing != null) {
      return existing;
    }
    Cell cell = topology.cell(name);
    return cell == null ? null : getOrCreateAdmission(cell);
  }

  /** Passes on the load that an engine reports. */
  void loadReported(UpstreamId upstream, LoadReport report) {
    CellAdmission c = findAdmission(upstream);
    if (c != null) {
      c.loadReported(upstream, report);
    }
  }

  /** Passes on the attempts that an engine reports as in progress. */
  void attemptsListed(UpstreamId upstream, List<ReportedAttempt> attempts) {
    CellAdmission c = findAdmission(upstream);
    if (c != null) {
      c.attemptsListed(upstream, attempts);
    }
  }

  /**
   * Drops all reservations and queued requests, as other nodes may have taken over the cells during
   * a long pause of this node.
   */
  void dropAllReservations() {
    admissions.clear();
    topologyChanged(topology);
  }

  private @Nullable CellAdmission findAdmission(UpstreamId upstream) {
    Cell cell = topology.cellOfEngine(upstream);
    return cell == null ? null : admissions.get(cell.name());
  }

  /** Runs the periodic work of one cell. */
  void tick(String cell) {
    CellAdmission c = admissions.get(cell);
    if (c != null) {
      c.tick();
    }
  }

  /** Runs the periodic work of all cells and drops idle ones that are assigned to other nodes. */
  void tickAll() {
    admissions.values().forEach(CellAdmission::tick);
    admissions
        .entrySet()
        .removeIf(
            e ->
                !admitsTo(e.getValue().cell())
                    && e.getValue().isIdle()
                    && commands.now() - e.getValue().lastActivityNanos()
                        > UNASSIGNED_CELL_IDLE_NANOS);
  }

  int reservationCount() {
    return admissions.values().stream().mapToInt(CellAdmission::reservationCount).sum();
  }

  int queuedCount() {
    return admissions.values().stream().mapToInt(CellAdmission::queuedCount).sum();
  }

  /** Returns the engines of the cells that are assigned to this node. */
  List<UpstreamId> admittedEngines() {
    List<UpstreamId> result = new ArrayList<>();
    for (CellAdmission c : admissions.values()) {
      if (admitsTo(c.cell())) {
        c.cell().engines().forEach(u -> result.add(u.id()));
      }
    }
    return result;
  }
}
