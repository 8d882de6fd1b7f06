package org.mustardlatch.core.routing;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.AdmissionMessage.Stage;

/** What one attempt holds in a cell. */
final class Reservation {
  final AttemptId attempt;
  final HostId owner;
  final @Nullable Fingerprint fingerprint;
  final int prefillPieces;
  final int decodePieces;
  final long kvBytes;

  /** Predicted duration of the prefill on an engine as fast as the manifest says, nanoseconds. */
  long nominalPrefillNanos;

  /** Engine whose prefill place or exported KV cache is held; null once it is free. */
  @Nullable EngineState prefillEngine;

  /** Engine whose decode slot is held; null for a prefill whose decode part is not known. */
  @Nullable EngineState decodeEngine;

  /** Engine that the KV cache comes from, as granted; null for a reservation taken over. */
  @Nullable UpstreamId kvSource;

  /** Engine whose crash this attempt was already counted in. */
  @Nullable EngineState countedCrashEngine;

  boolean transferReserved;
  boolean suspect;
  Stage stage = Stage.PREFILL;
  long stageStartNanos;
  long expiresNanos;
  int tokensSoFar;
  long tokensUpdatedNanos;

  Reservation(
      AttemptId attempt,
      HostId owner,
      @Nullable Fingerprint fingerprint,
      int prefillPieces,
      int decodePieces,
      long kvBytes) {
    this.attempt = attempt;
    this.owner = owner;
    this.fingerprint = fingerprint;
    this.prefillPieces = prefillPieces;
    this.decodePieces = decodePieces;
    this.kvBytes = kvBytes;
  }
}
