package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;

/**
 * State of one attempt of a request at its entry node, from the reservation request to the release
 * of the reservation. All times are monotonic nanoseconds of this node.
 */
final class Attempt {
  /**
   * Progress of an attempt. Every state from {@link #RESERVING} on implies a granted reservation.
   * An attempt that reuses a KV cache skips {@link #RESERVING} and {@link #PREFILL}; {@link
   * #RESERVING} is also skipped if the engines do not reserve. The names appear in explanations.
   */
  enum State {
    /** A reservation was requested from an admitting node, which has not responded. */
    ASKING,
    /** The admitting node has queued the reservation request. */
    QUEUED,
    /**
     * The reservation was granted; a slot and memory were also requested from the decode engine.
     */
    RESERVING,
    /** The prefill engine is processing the prompt. */
    PREFILL,
    /** The decode engine is fetching the KV cache. */
    TRANSFER,
    /** The decode engine is generating tokens. */
    DECODE
  }

  final AttemptId id;
  final Cell cell;

  /** KV cache of an earlier attempt that this one reuses; null if it starts with a prefill. */
  final @Nullable KvHandle inheritedKv;

  /** Nodes to which a reservation request was sent; each may have granted it. */
  final List<HostId> contactedNodes = new ArrayList<>();

  State state = State.ASKING;

  /** Time at which the attempt entered its state. */
  long stateSinceNanos;

  /** Time of the last reservation request. */
  long lastRequestNanos;

  /** Node that holds the reservation; null before the grant. */
  @Nullable HostId admittingNode;

  /** Engine of the prefill; null before the grant. */
  @Nullable UpstreamId prefillEngine;

  /** Engine of the decode; null before the grant. */
  @Nullable UpstreamId decodeEngine;

  /** Software version of the decode engine when the decode was sent; null if unknown. */
  @Nullable String engineVersion;

  /** KV cache that the decode engine fetches; null before the transfer. */
  @Nullable KvHandle kvHandle;

  /** Time at which the prefill or, later, the decode was sent to its engine. */
  long stageSentNanos;

  /** Time of the grant. */
  long grantedNanos;

  /** Time at which the reservation expires if it is never renewed. Renewals do not change it. */
  long initialExpiryNanos;

  /** Time of the last renewal, or of the grant before the first renewal. */
  long lastRenewalNanos;

  /**
   * Whether the reservation was renewed in the current stage: in a prefill because the prefill is
   * late, in a decode after a progress check. The time of the next check or renewal depends on it.
   */
  boolean renewedInStage;

  /** Tokens sent to the caller at the last progress check of the decode. */
  int tokensAtLastCheck;

  /** Time of the last progress check of the decode. */
  long lastCheckNanos;

  /** Whether the decode was slow at the last renewal. */
  boolean reportedSlow;

  /**
   * Time of the last sign of progress: a state change, a response that confirms the place in the
   * queue, or tokens.
   */
  long lastProgressNanos;

  Attempt(AttemptId id, Cell cell, @Nullable KvHandle inheritedKv) {
    this.id = id;
    this.cell = cell;
    this.inheritedKv = inheritedKv;
  }

  /** Changes the state, which counts as progress. */
  void enterState(State next, long now) {
    state = next;
    stateSinceNanos = now;
    lastProgressNanos = now;
  }

  /** Returns the predicted duration from the grant to the first token, nanoseconds. */
  long predictedFirstTokenNanos() {
    return Math.max(0, initialExpiryNanos - grantedNanos - CellAdmission.GRANT_MARGIN_NANOS);
  }

  /** Returns whether an admitting node has granted a reservation. */
  boolean granted() {
    return state.compareTo(State.RESERVING) >= 0;
  }
}
