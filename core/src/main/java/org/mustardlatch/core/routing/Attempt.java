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
  final @Nullable KvHandle inherited;

  /** Nodes that were asked and may hold a reservation. */
  final List<HostId> asked = new ArrayList<>();

  State state = State.ASKING;
  long sinceNanos;
  long lastAskNanos;

  /** The node that granted the reservation; null before. */
  @Nullable HostId admitter;

  @Nullable UpstreamId prefill;
  @Nullable UpstreamId decode;
  @Nullable KvHandle handle;
  long grantedNanos;
  long validUntilNanos;
  long renewedNanos;
  boolean extended;

  /** Tokens of the request when the progress of the decode was last looked at. */
  int tokensAtCheck;

  long checkedNanos;

  /** Whether the decode was slow when the admitting node last heard of it. */
  boolean slow;

  long progressNanos;

  Attempt(AttemptId id, Cell cell, @Nullable KvHandle inherited) {
    this.id = id;
    this.cell = cell;
    this.inherited = inherited;
  }

  void enter(State next, long now) {
    state = next;
    sinceNanos = now;
    progressNanos = now;
  }

  /** Returns the predicted time from the grant to the first token, nanoseconds. */
  long predictedNanos() {
    return Math.max(0, validUntilNanos - grantedNanos - CellAdmission.GRANT_MARGIN_NANOS);
  }

  boolean granted() {
    return state.compareTo(State.RESERVING) >= 0;
  }
}
