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

/** The cells that this node admits work to. */
final class AdmittingSide {
  // A cell that is asked for by a node with another view of the membership is kept this long.
  private static final long FOREIGN_IDLE_NANOS = 30_000_000_000L;
  private static final long RETRY_UNKNOWN_CELL_NANOS = 500_000_000;

  private final CommandCollector fx;
  private final CellAdmission.Environment environment;
  private final CellAdmission.CrashListener crashes;
  private final Map<String, CellAdmission> cells = new HashMap<>();
  private final LeavingUpstreams leaving;
  private Topology topology;

  AdmittingSide(
      CellAdmission.Environment environment,
      CellAdmission.CrashListener crashes,
      LeavingUpstreams leaving,
      Topology topology) {
    this.fx = environment.effects();
    this.environment = environment;
    this.crashes = crashes;
    this.leaving = leaving;
    this.topology = topology;
  }

  /** Takes over the cells that this node now admits to and gives up the others. */
  void topologyChanged(Topology next) {
    topology = next;
    cells.values().removeIf(c -> !keeps(c));
    for (Cell cell : next.cells()) {
      if (owns(cell)) {
        cellAdmission(cell).cellChanged(cell);
      }
    }
    for (CellAdmission c : cells.values()) {
      c.keepOwners(h -> next.member(h) != null);
    }
  }

  private boolean keeps(CellAdmission admission) {
    Cell cell = topology.cell(admission.cell().name());
    return cell != null && owns(cell);
  }

  private boolean owns(Cell cell) {
    List<HostId> owners = topology.owners(cell);
    return !owners.isEmpty() && owners.getFirst().equals(fx.self());
  }

  private CellAdmission cellAdmission(Cell cell) {
    CellAdmission c = cells.get(cell.name());
    if (c == null) {
      c = new CellAdmission(cell, environment, crashes, leaving);
      cells.put(cell.name(), c);
    }
    return c;
  }

  void handle(HostId from, AdmissionMessage message) {
    switch (message) {
      case Reserve r -> {
        CellAdmission c = find(r.cell());
        if (c == null) {
          unknownCell(from, r);
        } else {
          c.reserve(Ask.of(r, from, fx.now()));
        }
      }
      case ReserveDecode r -> {
        CellAdmission c = find(r.cell());
        if (c != null) {
          c.reserve(Ask.of(r, from, fx.now()));
        }
      }
      case ReserveWithdraw w -> {
        CellAdmission c = cells.get(w.cell());
        if (c != null) {
          c.withdraw(w.attempt());
        }
      }
      case ReservationRenew r -> {
        CellAdmission c = find(r.cell());
        if (c != null) {
          c.renew(from, r);
        }
      }
      case ReservationRelease r -> {
        CellAdmission c = cells.get(r.cell());
        if (c != null) {
          c.release(r);
        }
      }
      default -> throw new IllegalArgumentException("not for an admitting node: " + message);
    }
  }

  private void unknownCell(HostId from, Reserve r) {
    CellSummary none = new CellSummary(r.cell(), 0, Long.MAX_VALUE / 4);
    fx.send(
        from,
        new ReserveRefused(
            r.attempt(), ErrorCode.UPSTREAM_UNAVAILABLE, RETRY_UNKNOWN_CELL_NANOS, none));
  }

  /** Returns the cell, also for a node that takes this one for the admitting node; or null. */
  private @Nullable CellAdmission find(String name) {
    CellAdmission known = cells.get(name);
    if (known != null) {
      return known;
    }
    Cell cell = topology.cell(name);
    return cell == null ? null : cellAdmission(cell);
  }

  void loadReported(UpstreamId upstream, LoadReport report) {
    CellAdmission c = admissionOf(upstream);
    if (c != null) {
      c.loadReported(upstream, report);
    }
  }

  void heldListed(UpstreamId upstream, List<HeldAttempt> held) {
    CellAdmission c = admissionOf(upstream);
    if (c != null) {
      c.heldListed(upstream, held);
    }
  }

  /** Forgets every reservation; after a long pause other nodes have taken the cells over. */
  void forgetAll() {
    cells.clear();
    topologyChanged(topology);
  }

  private @Nullable CellAdmission admissionOf(UpstreamId upstream) {
    Cell cell = topology.cellOf(upstream);
    return cell == null ? null : cells.get(cell.name());
  }

  void tick(String cell) {
    CellAdmission c = cells.get(cell);
    if (c != null) {
      c.tick();
    }
  }

  void tickAll() {
    cells.values().forEach(CellAdmission::tick);
    cells
        .entrySet()
        .removeIf(
            e ->
                !owns(e.getValue().cell())
                    && e.getValue().idle()
                    && fx.now() - e.getValue().idleSinceNanos() > FOREIGN_IDLE_NANOS);
  }

  int reservationCount() {
    return cells.values().stream().mapToInt(CellAdmission::reservationCount).sum();
  }

  int queuedCount() {
    return cells.values().stream().mapToInt(CellAdmission::queuedCount).sum();
  }

  /** Returns the engines of the cells that this node is the admitting node of. */
  List<UpstreamId> ownedEngines() {
    List<UpstreamId> result = new ArrayList<>();
    for (CellAdmission c : cells.values()) {
      if (owns(c.cell())) {
        c.cell().engines().forEach(u -> result.add(u.id()));
      }
    }
    return result;
  }
}
