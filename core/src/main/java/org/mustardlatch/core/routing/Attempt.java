package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;

/** One attempt of a request at its entry node, from the ask for a reservation to its end. */
final class Attempt {
  /** How far an attempt has come. */
  enum State {
    ASKING,
    QUEUED,
    /** The decode engine is asked to reserve a slot and memory. */
    RESERVING,
    PREFILL,
    TRANSFER,
    DECODE
  }

  final AttemptId id;
  final Cell cell;

  /** Handle of the earlier attempt that this one takes over; null when it starts with a prefill. */
  final @Nullable KvHandle inheritedKv;

  /** Nodes that were asked and may hold a reservation. */
  final List<HostId> contactedNodes = new ArrayList<>();

  State state = State.ASKING;
  long stateSinceNanos;
  long lastReservationRequestNanos;

  /** The node that granted the reservation; null before. */
  @Nullable HostId admittingNode;

  @Nullable UpstreamId prefillEngine;
  @Nullable UpstreamId decodeEngine;
  @Nullable KvHandle kvHandle;
  long grantedNanos;
  long validUntilNanos;
  long lastRenewalNanos;
  boolean renewedInStage;

  /** Tokens of the request when the progress of the decode was last looked at. */
  int tokensAtLastCheck;

  long lastCheckNanos;

  /** Whether the decode was slow when the admitting node last heard of it. */
  boolean reportedSlow;

  long lastProgressNanos;

  Attempt(AttemptId id, Cell cell, @Nullable KvHandle inherited) {
    this.id = id;
    this.cell = cell;
    this.inheritedKv = inherited;
  }

  void enterState(State next, long now) {
    state = next;
    stateSinceNanos = now;
    lastProgressNanos = now;
  }

  /** Returns the predicted time from the grant to the first token, nanoseconds. */
  long predictedFirstTokenNanos() {
    return Math.max(0, validUntilNanos - grantedNanos - CellAdmission.GRANT_MARGIN_NANOS);
  }

  boolean isGranted() {
    return state.compareTo(State.RESERVING) >= 0;
  }
}
