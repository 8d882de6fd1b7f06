package org.mustardlatch.core.routing;

import java.util.ArrayDeque;
import java.util.Objects;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.peer.PeerMessage;

/**
 * Passes the commands of all parts of a {@link NodeRouter} to the receiver of the event in
 * progress, and supplies the time of that event. Messages of the node to itself are queued here
 * until the event has been handled.
 */
final class CommandCollector {
  private final HostId self;
  private final ArrayDeque<PeerMessage> localMessages = new ArrayDeque<>();
  private @Nullable Consumer<RoutingCommand> out;
  private long nowNanos;

  CommandCollector(HostId self) {
    this.self = self;
  }

  /**
   * Starts an event.
   *
   * @param nowNanos time of the event, monotonic nanoseconds
   * @param out receives the commands
   */
  void beginEvent(long nowNanos, Consumer<RoutingCommand> out) {
    this.nowNanos = nowNanos;
    this.out = out;
  }

  /** Returns the time of the event in progress, monotonic nanoseconds. */
  long now() {
    return nowNanos;
  }

  /** Returns the host of this node. */
  HostId self() {
    return self;
  }

  /** Passes a command to the receiver of the event in progress. */
  void emit(RoutingCommand command) {
    Objects.requireNonNull(out, "no event is in progress").accept(command);
  }

  /** Emits an explanation of a decision. */
  void explain(RequestId request, String rule, String detail) {
    emit(new RoutingCommand.Explain(request, rule, detail));
  }

  /** Emits a command that sets a timer. */
  void setTimer(String kind, String subject, long atNanos) {
    emit(new RoutingCommand.SetTimer(new TimerKey(kind, subject), atNanos));
  }

  /** Sends a message. A message to this node itself is handled after the event in progress. */
  void send(HostId to, PeerMessage message) {
    if (to.equals(self)) {
      localMessages.add(message);
    } else {
      emit(new RoutingCommand.SendPeerMessage(to, message));
    }
  }

  /** Removes and returns the next message to this node itself, or returns null. */
  @Nullable PeerMessage pollLocalMessage() {
    return localMessages.poll();
  }
}
