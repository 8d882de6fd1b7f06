package org.mustardlatch.core.routing;

import org.jspecify.annotations.Nullable;

/**
 * KV memory of one decode engine that is kept free for a large request. Without it, each piece of
 * memory that becomes free goes to a small request, and a large one never finds enough at once. The
 * hold takes the free memory of its engine until it has enough; small requests use the other
 * engines.
 */
final class DecodeMemoryHold {
  final ReservationRequest request;
  final EngineState engine;
  private final int neededPieces;
  private int heldPieces;

  private DecodeMemoryHold(ReservationRequest request, EngineState engine, int neededPieces) {
    this.request = request;
    this.engine = engine;
    this.neededPieces = neededPieces;
  }

  /**
   * Starts a hold on the usable engine with the most free memory, or returns null if no engine is
   * large enough or one has the memory already.
   */
  static @Nullable DecodeMemoryHold start(
      ReservationRequest request,
      Iterable<EngineState> engines,
      int neededPieces,
      UnavailableUpstreams unavailableUpstreams,
      long now) {
    EngineState best = null;
    for (EngineState e : engines) {
      if (e.upstream.memoryPieces() < neededPieces || !e.isUsable(unavailableUpstreams, now)) {
        continue;
      }
      if (freePieces(e) >= neededPieces && e.freeSlots() > 0) {
        return null;
      }
      if (best == null || freePieces(e) > freePieces(best)) {
        best = e;
      }
    }
    if (best == null) {
      return null;
    }
    DecodeMemoryHold hold = new DecodeMemoryHold(request, best, neededPieces);
    hold.fill();
    return hold;
  }

  /** Takes what is free on the engine, up to the needed memory; returns whether that is enough. */
  boolean fill() {
    int taken = Math.clamp(neededPieces - heldPieces, 0, Math.max(0, freePieces(engine)));
    heldPieces += taken;
    engine.reservedPieces += taken;
    return heldPieces >= neededPieces;
  }

  /** Gives the memory back to the engine. */
  void release() {
    engine.reservedPieces -= heldPieces;
    heldPieces = 0;
  }

  private static int freePieces(EngineState e) {
    return e.upstream.memoryPieces() - e.reservedPieces;
  }
}
