package org.mustardlatch.wire;

import java.util.ArrayDeque;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/** The way to one peer: at most one connection in use, and the messages that wait for it. */
final class Link {
  private record QueuedMessage(PeerMessage message, long queuedAtNanos) {}

  private final PeerTransport transport;
  private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
  private final @Nullable HostId host;
  private @Nullable String address;
  private @Nullable PeerChannel currentChannel;
  private boolean connecting;
  private int consecutiveFailures;
  private long retryAtNanos;
  private int consecutiveSilences;

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
    return currentChannel != null;
  }

  synchronized int queuedCount() {
    return queue.size();
  }

  /** Sends or queues a message; opens a connection when there is none. */
  synchronized void send(@Nullable String newAddress, PeerMessage message) {
    if (newAddress != null) {
      address = newAddress;
    }
    PeerChannel c = currentChannel;
    if (c != null && queue.isEmpty() && c.isWritable()) {
      c.send(message);
      return;
    }
    if (queue.size() == TransportLimits.MAX_QUEUED_MESSAGES) {
      queue.removeFirst();
      transport.counters().queueDrops.increment();
    }
    queue.addLast(new QueuedMessage(message, System.nanoTime()));
    flushOrConnect();
  }

  /** Sends what waits or opens a connection, whatever is possible now. */
  synchronized void flushOrConnect() {
    dropExpired();
    PeerChannel c = currentChannel;
    if (c == null) {
      connectAfterBackoff();
      return;
    }
    while (!queue.isEmpty() && c.isWritable()) {
      c.send(queue.removeFirst().message());
    }
  }

  /** Opens a connection when messages wait for one and the backoff has passed. */
  synchronized void retryQueued() {
    if (!queue.isEmpty()) {
      flushOrConnect();
    }
  }

  /** Uses this connection from now on; the newest one wins. */
  synchronized void attach(PeerChannel channel) {
    currentChannel = channel;
    connecting = false;
    consecutiveFailures = 0;
    flushOrConnect();
  }

  /** A connection of this link was refused. */
  synchronized void connectionRefused(PeerChannel channel) {
    if (currentChannel == channel) {
      currentChannel = null;
    }
    connectFailed();
  }

  synchronized void connectFailed() {
    connecting = false;
    long backoff =
        Math.min(
            TransportLimits.MAX_BACKOFF_NANOS,
            TransportLimits.MIN_BACKOFF_NANOS << Math.min(consecutiveFailures, 10));
    consecutiveFailures++;
    retryAtNanos = System.nanoTime() + transport.jitteredBackoff(backoff);
  }

  synchronized void connectionClosed(PeerChannel channel, boolean openedByLink) {
    if (currentChannel == channel) {
      currentChannel = null;
    } else if (openedByLink && connecting && currentChannel == null) {
      connectFailed();
    }
    if (!queue.isEmpty()) {
      flushOrConnect();
    }
  }

  /** The connection in use went silent; a fresh one is opened at once. */
  synchronized void connectionSilent(PeerChannel channel) {
    if (currentChannel == channel) {
      currentChannel = null;
      consecutiveSilences++;
      retryAtNanos = System.nanoTime();
      connectAfterBackoff();
    }
  }

  /** A frame of the peer arrived. */
  synchronized void frameReceived() {
    consecutiveSilences = 0;
  }

  /**
   * Returns how long a connection may be silent. Doubles with each connection that was replaced in
   * vain, because handshakes with a peer that is merely slow make it slower.
   */
  synchronized long silenceTimeoutNanos() {
    return TransportLimits.SILENCE_TIMEOUT_NANOS << Math.min(consecutiveSilences, TransportLimits.MAX_SILENCE_TIMEOUT_DOUBLINGS);
  }

  private void connectAfterBackoff() {
    String to = address;
    if (!connecting && to != null && System.nanoTime() - retryAtNanos >= 0) {
      connecting = true;
      transport.connect(this, to);
    }
  }

  private void dropExpired() {
    long expiryNanos = System.nanoTime() - TransportLimits.QUEUE_EXPIRY_NANOS;
    while (!queue.isEmpty() && queue.getFirst().queuedAtNanos() - expiryNanos < 0) {
      queue.removeFirst();
      transport.counters().queueExpired.increment();
    }
  }
}
