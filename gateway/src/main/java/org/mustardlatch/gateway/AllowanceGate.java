package org.mustardlatch.gateway;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.budget.Allowance;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.gateway.config.GatewayWorkspace;
import org.mustardlatch.gateway.http.CallerExchange;

/**
 * Has the router pay for each request from the allowance of its workspace before the request is
 * handled, and refuses it with 429 if the allowance does not cover it. A request that ends without
 * having reached an upstream gets its units back.
 *
 * <p>Used on the event loop of the data path only.
 */
final class AllowanceGate {
  private record Payment(
      RoutedExchange exchange, String workspace, double units, Runnable continuation) {}

  private final GenerationRequestHandler router;
  private final Map<RequestId, Payment> pending = new HashMap<>();

  AllowanceGate(GenerationRequestHandler router) {
    this.router = router;
    router.onSpendDecision(this::decided);
  }

  /** Returns the number of requests that wait for a decision. */
  int openRequests() {
    return pending.size();
  }

  /**
   * Pays for a request.
   *
   * @param workspace workspace of the caller; null if it has none
   * @param continuation handles the request; runs at once if there is no limit
   */
  void pay(RoutedExchange exchange, @Nullable GatewayWorkspace workspace, Runnable continuation) {
    Allowance allowance = workspace == null ? null : workspace.allowance();
    if (workspace == null || allowance == null) {
      continuation.run();
      return;
    }
    RequestMetadata metadata = exchange.metadata();
    double units = allowance.cost((long) metadata.promptTokens() + metadata.maxOutputTokens());
    RequestId id = new RequestId(exchange.localId());
    pending.put(id, new Payment(exchange, workspace.name(), units, continuation));
    router.handle(new RoutingEvent.SpendRequested(id, workspace.name(), units));
  }

  private void decided(RoutingCommand.DecideSpend decision) {
    Payment p = pending.remove(decision.request());
    if (p == null) {
      return;
    }
    if (!decision.granted()) {
      p.exchange()
          .fail(
              ErrorCode.RATE_LIMITED,
              "the allowance of the workspace is spent",
              decision.retryAfter());
      return;
    }
    var refund = new RoutingEvent.SpendReturned(p.workspace(), p.units());
    if (p.exchange().caller().done()) {
      router.postEvent(refund);
      return;
    }
    p.exchange().onNotSent(() -> router.postEvent(refund));
    p.continuation().run();
  }

  /**
   * Records that a caller disconnected. The units of its request are returned after the decision.
   *
   * @return whether a request of that caller waits for a decision
   */
  boolean callerDisconnected(CallerExchange caller) {
    for (Payment p : pending.values()) {
      if (p.exchange().caller().equals(caller)) {
        p.exchange().recordOutcome("caller_left", null, 0);
        return true;
      }
    }
    return false;
  }
}
