package org.mustardlatch.core.routing;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.AdmissionMessage.Stage;

/**
 * The slots, KV memory and transfer permit reserved for one attempt in a cell. A reservation that
 * the previous admitting node granted is adopted: it is created from a renewal and lacks the data
 * of the request.
 */
final class Reservation {
  final AttemptId attempt;

  /** The entry node that requested or renewed the reservation. */
  final HostId requester;

  /** Fingerprint of the request; null for an adopted reservation. */
  final @Nullable Fingerprint fingerprint;

  /** KV memory of the prefill, pieces. */
  final int prefillPieces;

  /** KV memory of the decode, pieces. */
  final int decodePieces;

  /** Size of the KV cache to transfer, bytes. */
  final long kvBytes;

  /** Predicted duration of the prefill at the rate in the manifest, nanoseconds. */
  long nominalPrefillNanos;

  /** Engine with the reserved prefill slot or exported KV cache; null once they are freed. */
  @Nullable EngineState prefillEngine;

  /** Engine with the reserved decode slot; null once it is freed. */
  @Nullable EngineState decodeEngine;

  /** Engine that provides the KV cache, as granted; null for an adopted reservation. */
  @Nullable UpstreamId kvSource;

  /** Engine whose crash report already included this attempt. */
  @Nullable EngineState countedCrashEngine;

  /** Whether a permit of the {@link KvTransferLimiter} is acquired. */
  boolean hasTransferPermit;

  /** Whether the request is suspected of crashing engines. */
  boolean suspect;

  Stage stage = Stage.PREFILL;

  /** Time at which the current stage started. */
  long stageStartNanos;

  /** Time at which the reservation is dropped unless it is renewed. */
  long expiresNanos;

  /** Output tokens at the last renewal in decode. */
  int tokensSoFar;

  /** Time of the last renewal in decode. */
  long tokensUpdatedNanos;

  Reservation(
      AttemptId attempt,
      HostId requester,
      @Nullable Fingerprint fingerprint,
      int prefillPieces,
      int decodePieces,
      long kvBytes) {
    this.attempt = attempt;
    this.requester = requester;
    this.fingerprint = fingerprint;
    this.prefillPieces = prefillPieces;
    this.decodePieces = decodePieces;
    this.kvBytes = kvBytes;
  }
}
