package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.peer.AdmissionMessage.Outcome;
import org.mustardlatch.core.peer.AdmissionMessage.Stage;

/** Applies the outcomes of attempts to the engines of a cell: blocks, backoff and crash reports. */
final class EngineOutcomes {
  // A blocked engine gets no new work for this time after a crash or a refusal.
  private static final long CRASH_BLOCK_NANOS = 3_000_000_000L;
  private static final long REFUSAL_BLOCK_NANOS = 150_000_000L;

  private final CommandCollector commands;
  private final ReservationTable reservations;
  private final KvTransferLimiter transferLimiter;
  private final CrashListener crashListener;

  EngineOutcomes(
      CommandCollector commands,
      ReservationTable reservations,
      KvTransferLimiter transferLimiter,
      CrashListener crashListener) {
    this.commands = commands;
    this.reservations = reservations;
    this.transferLimiter = transferLimiter;
    this.crashListener = crashListener;
  }

  /** Blocks an engine that refused, failed or crashed, and ends the backoff of one that works. */
  void record(EngineState e, @Nullable Reservation r, Outcome outcome) {
    long now = commands.now();
    switch (outcome) {
      case FINISHED -> e.failureCount = 0;
      case CANCELLED -> {}
      case REFUSED ->
          e.blockedUntilNanos = Math.max(e.blockedUntilNanos, now + REFUSAL_BLOCK_NANOS);
      case FAILED -> {
        e.blockAfterFailure(now);
        if (r != null && r.stage == Stage.TRANSFER) {
          transferLimiter.reduceLimit(now);
        }
      }
      case CRASHED -> recordCrash(e, r);
    }
  }

  /** Blocks a crashed engine and reports the requests that ran on it, once per crash. */
  private void recordCrash(EngineState e, @Nullable Reservation reportedBy) {
    long now = commands.now();
    e.blockFor(now, CRASH_BLOCK_NANOS);
    e.prefixIndex.clear();
    e.unreservedAttempts = 0;
    if (reportedBy == null || reportedBy.countedCrashEngine == e) {
      // Every entry node reports the same crash for its own attempts.
      return;
    }
    List<Fingerprint> running = new ArrayList<>();
    for (Reservation r : reservations.all()) {
      boolean inDecode = r.decodeEngine == e && r.stage != Stage.PREFILL;
      if ((r.prefillEngine == e || inDecode) && r.countedCrashEngine != e) {
        r.countedCrashEngine = e;
        if (r.fingerprint != null) {
          running.add(r.fingerprint);
        }
      }
    }
    crashListener.engineCrashed(e.upstream.id(), running);
  }
}
