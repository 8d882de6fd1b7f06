package org.mustardlatch.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;
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

/** Carries one attempt through its reservation and its upstream calls. */
final class AttemptDriver {
  /** Prefix blocks sent with an ask; 16,384 tokens of shared prefix tell engines apart enough. */
  private static final int MAX_PREFIX_BLOCKS = 64;

  private final Effects fx;
  private final CrossingDelay crossingDelay;
  private Topology topology;

  AttemptDriver(Effects fx, RegionId region, Topology topology) {
    this.fx = fx;
    this.crossingDelay = new CrossingDelay(region);
    this.topology = topology;
  }

  void topologyChanged(Topology next) {
    topology = next;
  }

  /** Asks the next admitting node of the cell; returns false when every one was asked. */
  boolean askNext(EntryRequest q, Attempt a) {
    for (HostId host : topology.admittingNodes(a.cell)) {
      if (!a.asked.contains(host)) {
        a.asked.add(host);
        ask(q, a, host);
        return true;
      }
    }
    return false;
  }

  /** Asks the node that was asked last once more, in case a message was lost. */
  void askAgain(EntryRequest q, Attempt a) {
    ask(q, a, a.asked.getLast());
  }

  private void ask(EntryRequest q, Attempt a, HostId host) {
    long now = fx.now();
    a.lastAskNanos = now;
    GenerationRequest r = q.request;
    List<UpstreamId> excluded = List.copyOf(q.excluded);
    KvHandle kv = a.inherited;
    if (kv != null) {
      fx.send(
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
              excluded));
      return;
    }
    List<Long> prefix = r.prefixBlocks();
    fx.send(
        host,
        new Reserve(
            a.id,
            a.cell.name(),
            r.workspace(),
            r.model(),
            q.promptTokens(),
            q.plannedTokens(),
            prefix.size() > MAX_PREFIX_BLOCKS ? prefix.subList(0, MAX_PREFIX_BLOCKS) : prefix,
            r.fingerprint(),
            firstTokenBudget(q, a),
            r.finalDeadlineNanos() - now,
            excluded));
  }

  /** Returns the time left for the next token; a continued stream has a whole target again. */
  private long firstTokenBudget(EntryRequest q, Attempt a) {
    long now = fx.now();
    if (q.tokensSent > 0) {
      long target = a.cell.model().firstTokenTarget().toNanos();
      return Math.min(q.request.finalDeadlineNanos() - now, target);
    }
    return q.request.firstTokenDeadlineNanos() - now - crossingDelay.nanos(a.cell);
  }

  /** Takes note that an admitting node answered the last ask. */
  void answered(Attempt a) {
    if (a.state == Attempt.State.ASKING) {
      crossingDelay.answered(a.cell, fx.now() - a.lastAskNanos);
    }
  }

  /** Starts the upstream work of a granted attempt. */
  void start(EntryRequest q, Attempt a, HostId from, ReserveGranted grant) {
    long now = fx.now();
    a.admitter = from;
    a.prefill = grant.prefill();
    a.decode = grant.decode();
    a.grantedNanos = now;
    a.validUntilNanos = now + grant.validNanos();
    a.renewedNanos = now;
    for (HostId host : a.asked) {
      if (!host.equals(from)) {
        fx.send(host, new ReserveWithdraw(a.id, a.cell.name()));
      }
    }
    KvHandle kv = a.inherited;
    if (kv == null) {
      if (a.cell.model().reservable()) {
        a.enter(Attempt.State.RESERVING, now);
        int tokens = q.promptTokens() + q.plannedTokens() / 2;
        fx.emit(new RoutingCommand.ReserveEngine(a.id, grant.decode(), tokens));
      } else {
        startPrefill(a);
      }
    } else {
      startDecode(q, a, kv);
    }
  }

  /** Starts the prefill of an attempt whose decode engine has room for it. */
  void startPrefill(Attempt a) {
    UpstreamId prefill = a.prefill;
    if (prefill == null) {
      throw new IllegalStateException("attempt " + a.id + " has no prefill engine");
    }
    a.enter(Attempt.State.PREFILL, fx.now());
    fx.emit(new RoutingCommand.StartPrefill(a.id, prefill));
  }

  /** Starts the decode of an attempt whose KV cache is ready. */
  void startDecode(EntryRequest q, Attempt a, KvHandle handle) {
    UpstreamId decode = a.decode;
    if (decode == null) {
      throw new IllegalStateException("attempt " + a.id + " has no decode engine");
    }
    a.handle = handle;
    a.enter(Attempt.State.TRANSFER, fx.now());
    fx.emit(new RoutingCommand.StartDecode(a.id, decode, handle, q.tokensSent));
  }

  /** Tells the admitting node that the attempt goes on. */
  void renew(EntryRequest q, Attempt a, Stage stage) {
    UpstreamId upstream = stage == Stage.PREFILL ? a.prefill : a.decode;
    if (a.admitter != null && upstream != null) {
      a.renewedNanos = fx.now();
      fx.send(a.admitter, new ReservationRenew(a.id, a.cell.name(), upstream, stage, q.tokensSent));
    }
  }

  /**
   * Cancels what an attempt has running and frees its reservation.
   *
   * @param keepHandle whether the KV cache goes to another attempt
   */
  void cancel(Attempt a, Outcome outcome, boolean keepHandle) {
    switch (a.state) {
      case ASKING, QUEUED -> {
        if (a.inherited != null && !keepHandle) {
          fx.emit(new RoutingCommand.ReleaseKv(a.inherited));
        }
      }
      case RESERVING -> cancelOn(a, a.decode);
      case PREFILL -> cancelOn(a, a.prefill);
      case TRANSFER -> {
        cancelOn(a, a.decode);
        if (a.handle != null && !keepHandle) {
          fx.emit(new RoutingCommand.ReleaseKv(a.handle));
        }
      }
      case DECODE -> cancelOn(a, a.decode);
    }
    release(a, outcome);
  }

  private void cancelOn(Attempt a, @Nullable UpstreamId upstream) {
    if (upstream != null) {
      fx.emit(new RoutingCommand.CancelAttempt(a.id, upstream));
    }
  }

  /** Frees the reservation of an attempt that has nothing running any more. */
  void release(Attempt a, Outcome outcome) {
    UpstreamId upstream = a.state == Attempt.State.PREFILL ? a.prefill : a.decode;
    if (a.admitter != null && upstream != null) {
      fx.send(a.admitter, new ReservationRelease(a.id, a.cell.name(), upstream, outcome));
    } else {
      withdraw(a);
    }
  }

  private void withdraw(Attempt a) {
    for (HostId host : a.asked) {
      fx.send(host, new ReserveWithdraw(a.id, a.cell.name()));
    }
  }

  /** Frees a grant that came too late or twice. */
  void decline(HostId from, ReserveGranted grant) {
    fx.send(
        from,
        new ReservationRelease(
            grant.attempt(), grant.summary().cell(), grant.decode(), Outcome.CANCELLED));
  }

  /** Moves an attempt to the node that admits to its cell now. */
  void ownerChanged(EntryRequest q, Attempt a) {
    List<HostId> owners = topology.admittingNodes(a.cell);
    if (owners.isEmpty()) {
      return;
    }
    HostId owner = owners.getFirst();
    if (!a.granted()) {
      a.asked.removeIf(h -> topology.member(h) == null);
      if (!a.asked.contains(owner)) {
        a.asked.add(owner);
        a.enter(Attempt.State.ASKING, fx.now());
        ask(q, a, owner);
      }
    } else if (!owner.equals(a.admitter)) {
      a.admitter = owner;
      renew(q, a, stage(a));
    }
  }

  static Stage stage(Attempt a) {
    return switch (a.state) {
      case DECODE -> Stage.DECODE;
      case TRANSFER -> Stage.TRANSFER;
      default -> Stage.PREFILL;
    };
  }
}
