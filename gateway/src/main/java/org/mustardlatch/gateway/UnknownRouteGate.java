package org.mustardlatch.gateway;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.http.CallerExchange;

/**
 * Holds requests that no route of the configuration in force matches until it is known to be the
 * newest one. Callers do not repeat a request after 404, so a node that missed a version, because
 * its read of the store hangs or it is cut off, must not answer so.
 *
 * <p>Used on the event loop of the data path.
 */
final class UnknownRouteGate {
  // A version that was stored later need not be in force yet.
  private static final Duration MAX_AGE = Duration.ofSeconds(1);
  // Some round trips to the store from another region.
  private static final Duration MAX_WAIT = Duration.ofMillis(250);
  // Time without another check after one that failed.
  private static final Duration FAILURE_PAUSE = Duration.ofMillis(500);
  private static final int MAX_WAITING = 256;

  /** Handles requests whose wait has ended. */
  interface Handler {
    /** Handles a request by the configuration in force, which is known to be the newest. */
    void confirmed(CallerExchange caller);

    /** Refuses a request, which may have a route in a version that this node does not know. */
    void unconfirmed(CallerExchange caller);
  }

  private final TimerService timers;
  private final ConfigurationFreshness freshness;
  private final Handler handler;
  private final Set<CallerExchange> waiting = new LinkedHashSet<>();
  private long checks;
  private long noCheckBeforeNanos = Long.MIN_VALUE;

  UnknownRouteGate(TimerService timers, ConfigurationFreshness freshness, Handler handler) {
    this.timers = timers;
    this.freshness = freshness;
    this.handler = handler;
  }

  /** Returns the number of requests that wait. */
  int openRequests() {
    return waiting.size();
  }

  /** Handles a request without a route at once, or after a check of the store. */
  void hold(CallerExchange caller) {
    long now = timers.nanos();
    Long confirmed = freshness.confirmedNanos();
    if (confirmed != null && now - confirmed <= MAX_AGE.toNanos()) {
      handler.confirmed(caller);
    } else if (now < noCheckBeforeNanos || waiting.size() >= MAX_WAITING) {
      handler.unconfirmed(caller);
    } else {
      waiting.add(caller);
      if (waiting.size() == 1) {
        startCheck();
      }
    }
  }

  private void startCheck() {
    long check = ++checks;
    timers.schedule(MAX_WAIT, () -> endCheck(check, false));
    freshness.confirm(current -> endCheck(check, current));
  }

  private void endCheck(long check, boolean current) {
    if (check != checks || waiting.isEmpty()) {
      return;
    }
    if (!current) {
      noCheckBeforeNanos = timers.nanos() + FAILURE_PAUSE.toNanos();
    }
    List<CallerExchange> callers = List.copyOf(waiting);
    waiting.clear();
    for (CallerExchange c : callers) {
      if (current) {
        handler.confirmed(c);
      } else {
        handler.unconfirmed(c);
      }
    }
  }

  /** Refuses all requests that wait. */
  void endWait() {
    endCheck(checks, false);
  }

  /** Forgets the request of a caller that disconnected; returns whether it waited. */
  boolean callerDisconnected(CallerExchange caller) {
    return waiting.remove(caller);
  }
}
