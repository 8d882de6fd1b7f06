package org.mustardlatch.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.balancing.Balancer;
import org.mustardlatch.core.balancing.Candidate;
import org.mustardlatch.core.balancing.RetryBudget;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.Call;
import org.mustardlatch.gateway.http.CallFailure;
import org.mustardlatch.gateway.http.CallerExchange;
import org.mustardlatch.gateway.http.CollectedAnswer;
import org.mustardlatch.gateway.http.UpstreamAnswer;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** Requests to plain application services: choice of the upstream, repeats, answers. */
final class ApplicationPath {
  private static final int MAX_REFUSALS = 3;
  // An answer is late when it takes this much longer than usual; an idempotent request goes to a
  // second upstream then.
  private static final double LATE_FACTOR = 3;
  private static final Duration MIN_LATE = Duration.ofMillis(60);
  private static final int SERVER_ERRORS = 500;

  private final Fleet fleet;
  private final TimerService timers;
  private final Distances distances;
  private final GatewaySettings settings;
  private final RandomGenerator random;
  private final Balancer balancer = new Balancer();
  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private final Map<CallerExchange, Run> runs = new HashMap<>();
  private final UpstreamProtocol protocol;
  private final GatewayMetrics metrics;
  private final IntSupplier nodes;

  ApplicationPath(
      Fleet fleet,
      TimerService timers,
      GatewaySettings settings,
      UpstreamProtocol protocol,
      RandomGenerator random,
      GatewayMetrics metrics,
      IntSupplier nodes) {
    this.nodes = nodes;
    this.metrics = metrics;
    this.fleet = fleet;
    this.timers = timers;
    this.settings = settings;
    this.protocol = protocol;
    this.random = random;
    this.distances = new Distances(settings);
  }

  int open() {
    return runs.size();
  }

  void start(Exchange exchange) {
    Run run = new Run(exchange);
    runs.put(exchange.caller(), run);
    budget(exchange.service().name()).deposit(settings.repeatRatio() / 2);
    run.begin();
  }

  /** Returns whether the exchange was one of this path. */
  boolean left(CallerExchange caller) {
    Run run = runs.get(caller);
    if (run != null) {
      run.close();
      run.exchange.log("caller_left", null, 0);
    }
    return run != null;
  }

  private RetryBudget budget(String service) {
    return budgets.computeIfAbsent(service, s -> Budgets.ofNode(settings, nodes.getAsInt()));
  }

  private List<Candidate> candidates(Run run) {
    List<Candidate> result = new ArrayList<>();
    for (Instance i : fleet.usable(run.exchange.service().name())) {
      result.add(new Candidate(new UpstreamId(i.id()), i.slots(), distances.nanosTo(i.zone())));
    }
    return result;
  }

  /** One request on its way to one or more upstreams. */
  private final class Run {
    private final Exchange exchange;
    private final Set<UpstreamId> tried = new HashSet<>();
    private final List<Try> active = new ArrayList<>();
    private int attempts;
    private int refusals;
    private @Nullable UpstreamAnswer serverError;
    private @Nullable TimerSubscription deadline;
    private @Nullable TimerSubscription late;

    Run(Exchange exchange) {
      this.exchange = exchange;
    }

    void begin() {
      Duration left = Duration.ofNanos(exchange.endNanos() - timers.nanos());
      deadline = timers.schedule(left, this::timedOut);
      next("first");
    }

    private boolean mayRepeat() {
      return exchange.route().repeatable()
          && attempts < exchange.route().maxAttempts()
          && budget(exchange.service().name()).tryAcquire();
    }

    /** Sends the request to the best upstream that it has not been to. */
    private void next(String reason) {
      long now = timers.nanos();
      Candidate c = balancer.choose(candidates(this), tried, now);
      Instance target = c == null ? null : fleet.instance(c.id().value());
      if (c == null || target == null) {
        giveUp(ErrorCode.UPSTREAM_UNAVAILABLE, "no upstream left");
        return;
      }
      tried.add(c.id());
      attempts++;
      long remaining = Math.max(1, (exchange.endNanos() - now) / 1_000_000);
      var plan = new UpstreamCallPlan(target, remaining, UpstreamCallPlan.WHOLE, null, null);
      double predicted = balancer.predictedResponseNanos(c, now);
      EventLog.log(
          LogEvent.REQUEST_SENT,
          exchange.callerId(),
          exchange.name(),
          target.id(),
          reason,
          (long) (predicted / 1_000_000));
      Try t = new Try(c.id(), now);
      active.add(t);
      balancer.requestSent(c.id());
      t.call = fleet.pool(target).send(exchange.call(plan), t);
      watchLate(predicted);
    }

    private void watchLate(double predictedNanos) {
      if (exchange.route().repeatable() && late == null) {
        long wait = Math.max(MIN_LATE.toNanos(), (long) (LATE_FACTOR * predictedNanos));
        late = timers.schedule(Duration.ofNanos(wait), this::isLate);
      }
    }

    private void isLate() {
      if (active.size() == 1 && mayRepeat()) {
        next("late_answer");
      }
    }

    private void giveUp(ErrorCode code, String reason) {
      if (!active.isEmpty()) {
        return;
      }
      UpstreamAnswer error = serverError;
      close();
      if (error != null) {
        exchange.deliver(error, "last_server_error");
      } else {
        exchange.fail(code, reason, Budgets.comeBack(exchange, timers.nanos(), random));
      }
    }

    private void timedOut() {
      UpstreamAnswer error = serverError;
      close();
      if (error != null) {
        exchange.deliver(error, "last_server_error");
      } else {
        exchange.fail(ErrorCode.DEADLINE_EXCEEDED, "deadline passed", Duration.ZERO);
      }
    }

    void close() {
      runs.remove(exchange.caller());
      for (Try t : active) {
        balancer.requestCancelled(t.upstream);
        if (t.call != null) {
          t.call.cancel();
        }
      }
      active.clear();
      if (deadline != null) {
        deadline.cancel();
      }
      if (late != null) {
        late.cancel();
      }
    }

    private void answered(Try t, UpstreamAnswer a) {
      long now = timers.nanos();
      UpstreamHead info = protocol.read(a.head());
      if (a.succeeded() && !info.genuine()) {
        failedCall(t, CallFailure.GARBLED, "success without the mark of an upstream");
        return;
      }
      active.remove(t);
      if (info.notRun()) {
        exchange.notRun();
        balancer.requestRefused(t.upstream, info.load(), now);
        refused();
        return;
      }
      balancer.responseReceived(t.upstream, now - t.sentNanos, info.load(), now);
      if (a.status() >= SERVER_ERRORS && serverError == null) {
        if (!active.isEmpty()) {
          serverError = a;
          return;
        }
        if (mayRepeat()) {
          serverError = a;
          next("server_error");
          return;
        }
      }
      close();
      exchange.firstByte(now);
      exchange.deliver(a, t.upstream.value());
    }

    private void refused() {
      refusals++;
      // The upstream states that it did not run the request, so it may be sent on.
      attempts--;
      if (!active.isEmpty()) {
        return;
      }
      if (refusals < MAX_REFUSALS && budget(exchange.service().name()).tryAcquire()) {
        next("refused_by_upstream");
      } else {
        giveUp(ErrorCode.OVERLOADED, "upstreams refuse work");
      }
    }

    private void failedCall(Try t, CallFailure failure, String reason) {
      active.remove(t);
      balancer.requestFailed(t.upstream, timers.nanos());
      metrics.callFailed("whole", failure.name());
      EventLog.log(
          LogEvent.CALL_FAILED, exchange.callerId(), exchange.name(), t.upstream, failure, reason);
      if (failure == CallFailure.NOT_SENT) {
        attempts--;
        if (active.isEmpty()) {
          next("not_connected");
        }
        return;
      }
      if (!active.isEmpty()) {
        return;
      }
      if (mayRepeat()) {
        next("broken_answer");
      } else {
        giveUp(ErrorCode.UPSTREAM_FAILED, "upstream broke off");
      }
    }

    /** One call of the request. */
    private final class Try extends CollectedAnswer {
      private final UpstreamId upstream;
      private final long sentNanos;
      private @Nullable Call call;

      Try(UpstreamId upstream, long sentNanos) {
        this.upstream = upstream;
        this.sentNanos = sentNanos;
      }

      @Override
      public void sent() {
        exchange.sent();
      }

      @Override
      protected void answered(UpstreamAnswer answer) {
        Run.this.answered(this, answer);
      }

      @Override
      public void failed(CallFailure failure, String reason) {
        failedCall(this, failure, reason);
      }
    }
  }

  void fleetChanged() {
    balancer.retainOnly(
        fleet.all().stream().map(i -> new UpstreamId(i.id())).collect(Collectors.toSet()));
  }
}
