package org.mustardlatch.replay;

import java.util.OptionalLong;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.model.ZoneId;

/** One line of a trace. All times are milliseconds since the start of the trace. */
public sealed interface TraceLine {
  /** Returns when it happens, milliseconds since the start of the trace, 0 or more. */
  long atMs();

  /**
   * A call of a caller.
   *
   * @param atMs when it arrives
   * @param region region of the caller
   * @param zone availability zone of the caller
   * @param workspace workspace of the caller
   * @param model the model that is asked for
   * @param promptTokens length of the prompt, 1 or more
   * @param prefix name of the shared prefix; empty when the prompt shares none
   * @param prefixTokens length of the shared prefix, 0 to {@code promptTokens}
   * @param outputTokens length of the answer, 1 or more
   * @param firstTokenMs first-token deadline, milliseconds after arrival, 1 or more
   * @param finalMs final deadline, milliseconds after arrival, at least {@code firstTokenMs}
   * @param idempotent whether the call may run twice
   * @param cancelMs when the caller goes away, milliseconds after arrival; empty when it stays
   * @param retries how often the caller comes back after a refusal, 0 to 2
   */
  record Arrival(
      long atMs,
      RegionId region,
      ZoneId zone,
      WorkspaceId workspace,
      ModelId model,
      int promptTokens,
      String prefix,
      int prefixTokens,
      int outputTokens,
      long firstTokenMs,
      long finalMs,
      boolean idempotent,
      OptionalLong cancelMs,
      int retries)
      implements TraceLine {}

  /**
   * A failure or disturbance.
   *
   * @param atMs when it starts
   * @param kind what happens
   * @param target upstream, host, zone or link that it concerns; a link is named by its region, and
   *     the link between the regions is named {@code cross}
   * @param factor for a straggler by how much it is slower, for a link slowdown by how much its
   *     rate falls; 1 or more
   * @param durationMs how long it lasts, 1 or more
   */
  record Fault(long atMs, FaultKind kind, String target, double factor, long durationMs)
      implements TraceLine {}

  /**
   * The window in which service at the crest is measured. A trace without one is measured as a
   * whole.
   *
   * @param atMs start of the window
   * @param durationMs length of the window, 1 or more
   */
  record Crest(long atMs, long durationMs) implements TraceLine {}
}
