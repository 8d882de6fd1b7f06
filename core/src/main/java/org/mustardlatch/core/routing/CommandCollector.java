package org.mustardlatch.core.routing;

import java.util.ArrayDeque;
import java.util.Objects;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.peer.PeerMessage;

/** The time of the event in progress and the commands that it leads to. */
final class CommandCollector {
  private final HostId self;
  private final ArrayDeque<PeerMessage> localMessages = new ArrayDeque<>();
  private @Nullable Consumer<RoutingCommand> out;
  private long nowNanos;

  CommandCollector(HostId self) {
    this.self = self;
  }

  void beginEvent(long nowNanos, Consumer<RoutingCommand> out) {
    this.nowNanos = nowNanos;
    this.out = out;
  }

  /** Returns the time of the event in progress, monotonic nanoseconds. */
  long now() {
    return nowNanos;
  }

  HostId self() {
    return self;
  }

  void emit(RoutingCommand command) {
    Objects.requireNonNull(out, "no event is in progress").accept(command);
  }

  void explain(RequestId request, String rule, String detail) {
    emit(new RoutingCommand.Explain(request, rule, detail));
  }

  void setTimer(String kind, String subject, long atNanos) {
    emit(new RoutingCommand.SetTimer(new TimerKey(kind, subject), atNanos));
  }

  /** Sends a message; one to this node itself is handled after the event in progress. */
  void send(HostId to, PeerMessage message) {
    if (to.equals(self)) {
      localMessages.add(message);
    } else {
      emit(new RoutingCommand.SendPeerMessage(to, message));
    }
  }

  /** Returns the next message to this node itself, or null. */
  @Nullable PeerMessage pollLocalMessage() {
    return localMessages.poll();
  }
}
