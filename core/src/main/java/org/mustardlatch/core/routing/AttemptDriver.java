package org.mustardlatch.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.AdmissionMessage.Outcome;
import org.mustardlatch.core.peer.AdmissionMessage.ReservationRelease;
import org.mustardlatch.core.peer.AdmissionMessage.ReservationRenew;
import org.mustardlatch.core.peer.AdmissionMessage.Reserve;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveDecode;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveGranted;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveWithdraw;
import org.mustardlatch.core.peer.AdmissionMessage.Stage;

/**
 * Emits the messages to admitting nodes and the upstream calls of an attempt. The decisions are
 * made by {@link RequestCoordinator}.
 */
final class AttemptDriver {
  /**
   * Prefix blocks sent with a reservation request. A shared prefix of 16,384 tokens is long enough
   * to choose between engines.
   */
  private static final int MAX_SENT_PREFIX_BLOCKS = 64;

  private final CommandCollector commands;
  private final StreamOrigins origins;
  private final CrossRegionDelay crossRegionDelay;
  private Topology topology;

  AttemptDriver(
      CommandCollector commands, RegionId region, StreamOrigins origins, Topology topology) {
    this.commands = commands;
    this.origins = origins;
    this.crossRegionDelay = new CrossRegionDelay(region);
    this.topology = topology;
  }

  void topologyChanged(Topology next) {
    topology = next;
  }

  /**
   * Requests a reservation from the next admitting node of the cell that has not received a request
   * yet.
   *
   * @return false if every admitting node of the cell has received a request
   */
  boolean contactNextNode(EntryRequest q, Attempt a) {
    for (HostId host : topology.admittingNodes(a.cell)) {
      if (!a.contactedNodes.contains(host)) {
        a.contactedNodes.add(host);
        sendReservationRequest(q, a, host);
        return true;
      }
    }
    return false;
  }

  /** Repeats the last reservation request, in case a message was lost. */
  void repeatReservationRequest(EntryRequest q, Attempt a) {
    sendReservationRequest(q, a, a.contactedNodes.getLast());
  }

  private void sendReservationRequest(EntryRequest q, Attempt a, HostId host) {
    long now = commands.now();
    a.lastRequestNanos = now;
    GenerationRequest r = q.request;
    List<UpstreamId> excluded = List.copyOf(q.excluded);
    KvHandle kv = a.inheritedKv;
    if (kv != null) {
      commands.send(
          host,
          new ReserveDecode(
              a.id,
              a.cell.name(),
              r.workspace(),
              r.model(),
              q.promptTokens(),
              q.plannedTokens(),
              r.fingerprint(),
              kv.source(),
              kv.expiresNanos() - now,
              excluded,
              r.rank(),
              q.engineVersion));
      return;
    }
    List<Long> prefix = r.prefixBlocks();
    commands.send(
        host,
        new Reserve(
            a.id,
            a.cell.name(),
            r.workspace(),
            r.model(),
            q.promptTokens(),
            q.plannedTokens(),
            prefix.size() > MAX_SENT_PREFIX_BLOCKS
                ? prefix.subList(0, MAX_SENT_PREFIX_BLOCKS)
                : prefix,
            r.fingerprint(),
            firstTokenBudgetNanos(q, a),
            r.finalDeadlineNanos() - now,
            excluded,
            r.rank(),
            waitBudgetNanos(q, a),
            q.engineVersion));
  }

  /**
   * Returns how long the cell may take to produce its first token, nanoseconds: the time left until
   * the first-token deadline, less the delay of another region. A continued stream has met that
   * deadline and gets the full first-token target of the model again.
   */
  private long firstTokenBudgetNanos(EntryRequest q, Attempt a) {
    long now = commands.now();
    if (q.tokensSent > 0) {
      long target = a.cell.model().firstTokenTarget().toNanos();
      return Math.min(q.request.finalDeadlineNanos() - now, target);
    }
    return q.request.firstTokenDeadlineNanos() - now - crossRegionDelay.delayNanos(a.cell);
  }

  /** Like {@link #firstTokenBudgetNanos}, but until the time at which the caller leaves. */
  private long waitBudgetNanos(EntryRequest q, Attempt a) {
    long past = q.request.waitLimitNanos() - q.request.firstTokenDeadlineNanos();
    return firstTokenBudgetNanos(q, a) + (q.tokensSent > 0 ? 0 : past);
  }

  /** Records the response time of an admitting node, unless the attempt is queued there already. */
  void recordResponse(Attempt a) {
    if (a.state == Attempt.State.ASKING) {
      crossRegionDelay.recordResponse(a.cell, commands.now() - a.lastRequestNanos);
    }
  }

  /**
   * Starts the upstream work of an attempt whose reservation was granted, and withdraws the
   * reservation requests to other nodes.
   */
  void startGranted(EntryRequest q, Attempt a, HostId from, ReserveGranted grant) {
    long now = commands.now();
    a.admittingNode = from;
    a.prefillEngine = grant.prefill();
    a.decodeEngine = grant.decode();
    a.grantedNanos = now;
    a.initialExpiryNanos = now + grant.validNanos();
    a.lastRenewalNanos = now;
    for (HostId host : a.contactedNodes) {
      if (!host.equals(from)) {
        commands.send(host, new ReserveWithdraw(a.id, a.cell.name()));
      }
    }
    KvHandle kv = a.inheritedKv;
    if (kv == null) {
      if (a.cell.model().reservable()) {
        a.enterState(Attempt.State.RESERVING, now);
        int tokens = q.promptTokens() + q.plannedTokens() / 2;
        commands.emit(new RoutingCommand.ReserveEngine(a.id, grant.decode(), tokens));
      } else {
        startPrefill(a);
      }
    } else {
      startDecode(q, a, kv);
    }
  }

  /** Starts the prefill of an attempt that has a decode slot. */
  void startPrefill(Attempt a) {
    UpstreamId prefill = a.prefillEngine;
    if (prefill == null) {
      throw new IllegalStateException("attempt " + a.id + " has no prefill engine");
    }
    a.enterState(Attempt.State.PREFILL, commands.now());
    a.stageSentNanos = commands.now();
    commands.emit(new RoutingCommand.StartPrefill(a.id, prefill));
  }

  /** Starts the decode of an attempt whose KV cache can be fetched. */
  void startDecode(EntryRequest q, Attempt a, KvHandle kvHandle) {
    UpstreamId decode = a.decodeEngine;
    if (decode == null) {
      throw new IllegalStateException("attempt " + a.id + " has no decode engine");
    }
    a.kvHandle = kvHandle;
    a.engineVersion = topology.softwareVersion(decode);
    if (!StalledStreamMover.isReplacement(q, a)) {
      announceVersion(q, a);
    }
    a.enterState(Attempt.State.TRANSFER, commands.now());
    a.stageSentNanos = commands.now();
    commands.emit(new RoutingCommand.StartDecode(a.id, decode, kvHandle, q.tokensSent));
  }

  /** Tells the keepers of a stream the software version of the engine that is to begin it. */
  void announceVersion(EntryRequest q, Attempt a) {
    Fingerprint stream = q.request.stream();
    String version = a.engineVersion;
    if (q.tokensSent == 0
        && stream != null
        && version != null
        && !version.equals(q.announcedVersion)) {
      q.announcedVersion = version;
      origins.began(stream, version);
    }
  }

  /** Renews the reservation and reports the stage and the progress to the admitting node. */
  void renewReservation(EntryRequest q, Attempt a, Stage stage) {
    UpstreamId upstream = stage == Stage.PREFILL ? a.prefillEngine : a.decodeEngine;
    if (a.admittingNode != null && upstream != null) {
      a.lastRenewalNanos = commands.now();
      commands.send(
          a.admittingNode,
          new ReservationRenew(a.id, a.cell.name(), upstream, stage, q.tokensSent));
    }
  }

  /**
   * Cancels the upstream work of an attempt and releases its reservation.
   *
   * @param keepKv whether the KV cache is kept for another attempt
   */
  void cancel(Attempt a, Outcome outcome, boolean keepKv) {
    switch (a.state) {
      case ASKING, QUEUED -> {
        if (a.inheritedKv != null && !keepKv) {
          commands.emit(new RoutingCommand.ReleaseKv(a.inheritedKv));
        }
      }
      case RESERVING -> cancelOnUpstream(a, a.decodeEngine);
      case PREFILL -> cancelOnUpstream(a, a.prefillEngine);
      case TRANSFER -> {
        cancelOnUpstream(a, a.decodeEngine);
        if (a.kvHandle != null && !keepKv) {
          commands.emit(new RoutingCommand.ReleaseKv(a.kvHandle));
        }
      }
      case DECODE -> cancelOnUpstream(a, a.decodeEngine);
    }
    releaseReservation(a, outcome);
  }

  private void cancelOnUpstream(Attempt a, @Nullable UpstreamId upstream) {
    if (upstream != null) {
      commands.emit(new RoutingCommand.CancelAttempt(a.id, upstream));
    }
  }

  /**
   * Releases the reservation of an attempt that has no upstream work any more, or withdraws its
   * reservation requests if none was granted.
   */
  void releaseReservation(Attempt a, Outcome outcome) {
    UpstreamId upstream = a.state == Attempt.State.PREFILL ? a.prefillEngine : a.decodeEngine;
    if (a.admittingNode != null && upstream != null) {
      commands.send(
          a.admittingNode, new ReservationRelease(a.id, a.cell.name(), upstream, outcome));
    } else {
      withdrawReservationRequests(a);
    }
  }

  private void withdrawReservationRequests(Attempt a) {
    for (HostId host : a.contactedNodes) {
      commands.send(host, new ReserveWithdraw(a.id, a.cell.name()));
    }
  }

  /**
   * Releases a grant that is not used: its attempt has ended, another node granted the reservation
   * first, or an engine of the grant is leaving.
   */
  void declineGrant(HostId from, ReserveGranted grant) {
    commands.send(
        from,
        new ReservationRelease(
            grant.attempt(), grant.summary().cell(), grant.decode(), Outcome.CANCELLED));
  }

  /**
   * Moves an attempt to the current admitting node of its cell if that changed: sends the
   * reservation request, or a renewal of the granted reservation, to that node.
   */
  void updateAdmittingNode(EntryRequest q, Attempt a) {
    List<HostId> admittingNodes = topology.admittingNodes(a.cell);
    if (admittingNodes.isEmpty()) {
      return;
    }
    HostId currentNode = admittingNodes.getFirst();
    if (!a.granted()) {
      a.contactedNodes.removeIf(h -> topology.member(h) == null);
      if (!a.contactedNodes.contains(currentNode)) {
        a.contactedNodes.add(currentNode);
        a.enterState(Attempt.State.ASKING, commands.now());
        sendReservationRequest(q, a, currentNode);
      }
    } else if (!currentNode.equals(a.admittingNode)) {
      a.admittingNode = currentNode;
      renewReservation(q, a, stage(a));
    }
  }

  /** Returns the stage that a renewal reports. */
  static Stage stage(Attempt a) {
    return switch (a.state) {
      case DECODE -> Stage.DECODE;
      case TRANSFER -> Stage.TRANSFER;
      default -> Stage.PREFILL;
    };
  }
}
