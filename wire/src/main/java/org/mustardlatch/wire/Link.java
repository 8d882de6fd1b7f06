package org.mustardlatch.wire;

import java.util.ArrayDeque;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/** The way to one peer: at most one connection in use, and the messages that wait for it. */
final class Link {
  private record Waiting(PeerMessage message, long atNanos) {}

  private final PeerTransport transport;
  private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
  private final @Nullable HostId host;
  private @Nullable String address;
  private @Nullable PeerChannel current;
  private boolean connecting;
  private int failures;
  private long retryAtNanos;
  private int silences;

  Link(PeerTransport transport, @Nullable HostId host) {
    this.transport = transport;
    this.host = host;
    this.retryAtNanos = System.nanoTime();
  }

  /** Returns the host that must answer; null when any may, for example at a seed's address. */
  @Nullable HostId host() {
    return host;
  }

  synchronized @Nullable String address() {
    return address;
  }

  synchronized boolean connected() {
    return current != null;
  }

  synchronized int queued() {
    return queue.size();
  }

  /** Sends or queues a message; opens a connection when there is none. */
  synchronized void send(@Nullable String newAddress, PeerMessage message) {
    if (newAddress != null) {
      address = newAddress;
    }
    PeerChannel c = current;
    if (c != null && queue.isEmpty() && c.isWritable()) {
      c.send(message);
      return;
    }
    if (queue.size() == TransportLimits.QUEUE_LIMIT) {
      queue.removeFirst();
      transport.counters().queueDrops.increment();
    }
    queue.addLast(new Waiting(message, System.nanoTime()));
    advance();
  }

  /** Sends what waits or opens a connection, whatever is possible now. */
  synchronized void advance() {
    expire();
    PeerChannel c = current;
    if (c == null) {
      connectIfDue();
      return;
    }
    while (!queue.isEmpty() && c.isWritable()) {
      c.send(queue.removeFirst().message());
    }
  }

  /** Opens a connection when messages wait for one and the backoff has passed. */
  synchronized void retry() {
    if (!queue.isEmpty()) {
      advance();
    }
  }

  /** Uses this connection from now on; the newest one wins. */
  synchronized void attach(PeerChannel channel) {
    current = channel;
    connecting = false;
    failures = 0;
    advance();
  }

  /** A connection of this link was refused. */
  synchronized void failed(PeerChannel channel) {
    if (current == channel) {
      current = null;
    }
    connectFailed();
  }

  synchronized void connectFailed() {
    connecting = false;
    long backoff =
        Math.min(
            TransportLimits.MAX_BACKOFF_NANOS,
            TransportLimits.MIN_BACKOFF_NANOS << Math.min(failures, 10));
    failures++;
    retryAtNanos = System.nanoTime() + transport.jitter(backoff);
  }

  synchronized void closed(PeerChannel channel, boolean opened) {
    if (current == channel) {
      current = null;
    } else if (opened && connecting && current == null) {
      connectFailed();
    }
    if (!queue.isEmpty()) {
      advance();
    }
  }

  /** The connection in use went silent; a fresh one is opened at once. */
  synchronized void silent(PeerChannel channel) {
    if (current == channel) {
      current = null;
      silences++;
      retryAtNanos = System.nanoTime();
      connectIfDue();
    }
  }

  /** A frame of the peer arrived. */
  synchronized void heard() {
    silences = 0;
  }

  /**
   * Returns how long a connection may be silent. Doubles with each connection that was replaced in
   * vain, because handshakes with a peer that is merely slow make it slower.
   */
  synchronized long silentAfterNanos() {
    return TransportLimits.SILENT_AFTER_NANOS << Math.min(silences, TransportLimits.MAX_DOUBLINGS);
  }

  private void connectIfDue() {
    String to = address;
    if (!connecting && to != null && System.nanoTime() - retryAtNanos >= 0) {
      connecting = true;
      transport.connect(this, to);
    }
  }

  private void expire() {
    long oldest = System.nanoTime() - TransportLimits.QUEUE_EXPIRY_NANOS;
    while (!queue.isEmpty() && queue.getFirst().atNanos() - oldest < 0) {
      queue.removeFirst();
      transport.counters().queueExpired.increment();
    }
  }
}
