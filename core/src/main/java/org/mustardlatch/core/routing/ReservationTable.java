package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.AdmissionMessage.ReservationRenew;
import org.mustardlatch.core.peer.AdmissionMessage.Stage;

/**
 * The reservations of one cell and the slots, KV memory and transfer permits that they occupy.
 * Observed durations of transfers and tokens update the estimates of the engines.
 */
final class ReservationTable {
  /** Time to live of a reservation after each renewal, in any stage, nanoseconds. */
  static final long RENEWED_RESERVATION_NANOS = 20_000_000_000L;

  private final CommandCollector commands;
  private final KvTransferLimiter transferLimiter;
  private final LongSupplier tokenGapTargetNanos;
  private final DepartureRate departureRate;
  private final Map<AttemptId, Reservation> reservations = new HashMap<>();

  ReservationTable(
      CommandCollector commands,
      LongSupplier tokenGapTargetNanos,
      KvTransferLimiter transferLimiter,
      DepartureRate departureRate) {
    this.commands = commands;
    this.tokenGapTargetNanos = tokenGapTargetNanos;
    this.transferLimiter = transferLimiter;
    this.departureRate = departureRate;
  }

  @Nullable Reservation get(AttemptId attempt) {
    return reservations.get(attempt);
  }

  void add(Reservation r) {
    reservations.put(r.attempt, r);
  }

  Collection<Reservation> all() {
    return reservations.values();
  }

  int size() {
    return reservations.size();
  }

  /** Removes a reservation, if there is one, and frees what it occupies; returns it. */
  @Nullable Reservation remove(AttemptId attempt, boolean finished) {
    Reservation r = reservations.remove(attempt);
    if (r != null) {
      freeReservation(r, finished);
    }
    return r;
  }

  /** Removes and frees all reservations that match a condition, as unfinished. */
  void removeIf(Predicate<Reservation> condition) {
    List<Reservation> matching = new ArrayList<>();
    for (Reservation r : reservations.values()) {
      if (condition.test(r)) {
        matching.add(r);
      }
    }
    matching.forEach(r -> remove(r.attempt, false));
  }

  /** Extends a reservation and records the stage and progress that its renewal reports. */
  void renew(Reservation r, ReservationRenew renew) {
    if (renew.stage() == Stage.TRANSFER && r.stage == Stage.PREFILL) {
      if (r.prefillEngine != null) {
        r.prefillEngine.failureCount = 0;
      }
      endPrefill(r, true);
      enterStage(r, Stage.TRANSFER);
    } else if (renew.stage() == Stage.DECODE && r.stage != Stage.DECODE) {
      endTransfer(r, true);
      enterStage(r, Stage.DECODE);
      r.tokensUpdatedNanos = commands.now();
      r.tokensSoFar = renew.tokensSoFar();
    } else if (renew.stage() == Stage.DECODE) {
      recordTokenProgress(r, renew.tokensSoFar());
    }
    r.expiresNanos = commands.now() + RENEWED_RESERVATION_NANOS;
  }

  static void reserveSlot(EngineState e, Reservation r, int pieces) {
    e.reservedSlots++;
    e.reservedPieces += pieces;
    e.suspectCount += r.suspect ? 1 : 0;
  }

  private static void releaseSlot(EngineState e, Reservation r, int pieces) {
    e.reservedSlots--;
    e.reservedPieces -= pieces;
    e.suspectCount -= r.suspect ? 1 : 0;
  }

  private void enterStage(Reservation r, Stage stage) {
    r.stage = stage;
    r.stageStartNanos = commands.now();
  }

  private void endPrefill(Reservation r, boolean finished) {
    if (r.prefillEngine != null) {
      r.prefillEngine.prefillEnded(r, commands.now(), finished);
    }
  }

  /** Frees the permit and prefill engine of an attempt that starts decode or ended before it. */
  private void endTransfer(Reservation r, boolean finished) {
    long now = commands.now();
    if (r.stage == Stage.PREFILL) {
      endPrefill(r, false);
    } else if (finished && r.decodeEngine != null && r.prefillEngine != r.decodeEngine) {
      long duration = now - r.stageStartNanos;
      long predicted = transferLimiter.predictedTransferNanos(r.kvBytes);
      if (predicted > 0) {
        r.decodeEngine.transferSlowdown.observe(duration, predicted);
      }
      transferLimiter.recordTransfer(r.kvBytes, duration, now);
    }
    if (r.hasTransferPermit) {
      transferLimiter.release();
      r.hasTransferPermit = false;
    }
    if (r.prefillEngine != null && r.prefillEngine != r.decodeEngine) {
      releaseSlot(r.prefillEngine, r, r.prefillPieces);
    }
    r.prefillEngine = null;
  }

  /** Frees everything that is still reserved. */
  private void freeReservation(Reservation r, boolean finished) {
    if (r.stage != Stage.DECODE) {
      endTransfer(r, false);
    }
    if (r.decodeEngine != null) {
      releaseSlot(r.decodeEngine, r, r.decodePieces);
      r.decodeEngine.locallyGrantedDecodeSlots -= r.kvSource == null ? 0 : 1;
      r.decodeEngine = null;
      if (finished) {
        departureRate.recordDeparture(commands.now());
      }
    }
  }

  /** Updates the token slowdown of the decode engine with the tokens since the last renewal. */
  private void recordTokenProgress(Reservation r, int tokens) {
    long now = commands.now();
    int count = tokens - r.tokensSoFar;
    if (r.decodeEngine != null && count > 0) {
      long predicted = tokenGapTargetNanos.getAsLong() * count;
      r.decodeEngine.tokenSlowdown.observe(now - r.tokensUpdatedNanos, predicted);
    }
    r.tokensSoFar = tokens;
    r.tokensUpdatedNanos = now;
  }

  /** Creates a reservation from the renewal of one that another admitting node granted. */
  void adopt(HostId from, ReservationRenew renew, EngineState e) {
    Reservation r = new Reservation(renew.attempt(), from, null, 0, 1, 0);
    r.stage = Stage.DECODE;
    r.decodeEngine = e;
    r.stageStartNanos = commands.now();
    r.tokensSoFar = renew.tokensSoFar();
    r.tokensUpdatedNanos = commands.now();
    r.expiresNanos = commands.now() + RENEWED_RESERVATION_NANOS;
    reserveSlot(e, r, r.decodePieces);
    reservations.put(r.attempt, r);
  }

  /** Moves an adopted reservation to the engine of its renewal, for example prefill to decode. */
  static void moveAdopted(Reservation r, EngineState next) {
    if (r.decodeEngine != null && next != r.decodeEngine) {
      releaseSlot(r.decodeEngine, r, r.decodePieces);
      reserveSlot(next, r, r.decodePieces);
      r.decodeEngine = next;
    }
  }
}
