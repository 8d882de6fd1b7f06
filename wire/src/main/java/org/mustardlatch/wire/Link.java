package org.mustardlatch.wire;

import java.util.ArrayDeque;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/**
 * Outbound queue and current connection of one peer, identified by its host or by an address such
 * as that of a seed. Used by {@link PeerTransport}. Queues messages while there is no writable
 * connection and reconnects with backoff. Thread-safe.
 */
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

  /** Returns the host that the peer must be; null if any host is allowed, as at a seed address. */
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

  /**
   * Sends or queues a message and opens a connection if there is none.
   *
   * @param newAddress address for new connections from now on; null to keep the earlier address
   */
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

  /** Sends queued messages, or opens a connection if there is none and the backoff has passed. */
  synchronized void flushOrConnect() {
    dropExpired();
    PeerChannel c = currentChannel;
    if (c == null) {
      connectIfBackoffPassed();
      return;
    }
    while (!queue.isEmpty() && c.isWritable()) {
      c.send(queue.removeFirst().message());
    }
  }

  /** Sends queued messages or opens a connection for them; does nothing if the queue is empty. */
  synchronized void retryQueued() {
    if (!queue.isEmpty()) {
      flushOrConnect();
    }
  }

  /**
   * Sends over this connection from now on. An earlier connection is not closed, so that its peer
   * can still send over it.
   */
  synchronized void attach(PeerChannel channel) {
    currentChannel = channel;
    connecting = false;
    consecutiveFailures = 0;
    flushOrConnect();
  }

  /**
   * Starts the backoff because this node refused a connection that the link opened, for example
   * because of the certificate of the peer.
   */
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

  /**
   * Handles the end of a connection. A connection that the link opened and that closed before it
   * was ready counts as a failed attempt.
   */
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

  /** Replaces the current connection without backoff because its peer is silent. */
  synchronized void connectionSilent(PeerChannel channel) {
    if (currentChannel == channel) {
      currentChannel = null;
      consecutiveSilences++;
      retryAtNanos = System.nanoTime();
      connectIfBackoffPassed();
    }
  }

  /** Sets the silence timeout back to its initial length because the peer sent a frame. */
  synchronized void frameReceived() {
    consecutiveSilences = 0;
  }

  /**
   * Returns how long a connection may be silent, in nanoseconds. The time doubles with each new
   * connection that stays silent too, because the handshakes of new connections slow down a peer
   * that is slow but alive.
   */
  synchronized long silenceTimeoutNanos() {
    return TransportLimits.SILENCE_TIMEOUT_NANOS
        << Math.min(consecutiveSilences, TransportLimits.MAX_SILENCE_TIMEOUT_DOUBLINGS);
  }

  private void connectIfBackoffPassed() {
    String to = address;
    if (!connecting && to != null && System.nanoTime() - retryAtNanos >= 0) {
      connecting = true;
      transport.connect(this, to);
    }
  }

  private void dropExpired() {
    long oldestUnexpiredNanos = System.nanoTime() - TransportLimits.QUEUE_EXPIRY_NANOS;
    while (!queue.isEmpty() && queue.getFirst().queuedAtNanos() - oldestUnexpiredNanos < 0) {
      queue.removeFirst();
      transport.counters().queueExpired.increment();
    }
  }
}
