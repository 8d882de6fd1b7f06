package org.mustardlatch.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.routing.RoutingPolicy;

/**
 * The simplest policy that keeps the promises of the request path: takes the engines in turn, and
 * starts a new attempt from prefill when one fails.
 */
final class DirectPolicy implements RoutingPolicy {
  private static final int MAX_ATTEMPTS = 4;

  private final Map<RequestId, State> states = new HashMap<>();
  private @Nullable Manifest manifest;
  private int turn;

  @Override
  public void handle(RoutingEvent event, long nowNanos, Consumer<RoutingCommand> out) {
    switch (event) {
      case RoutingEvent.ManifestApplied e -> manifest = e.manifest();
      case RoutingEvent.RequestArrived e -> {
        states.put(e.request().id(), new State());
        start(e.request().id(), out);
      }
      case RoutingEvent.CallerGone e -> {
        State state = states.remove(e.request());
        if (state != null) {
          state.cancel(out);
        }
      }
      case RoutingEvent.PrefillFinished e -> {
        State state = current(e.attempt());
        if (state == null) {
          out.accept(new RoutingCommand.ReleaseKv(e.handle()));
        } else {
          state.upstream = pick(true, state);
          out.accept(
              new RoutingCommand.StartDecode(
                  e.attempt(), state.upstream, e.handle(), state.tokens));
        }
      }
      case RoutingEvent.TokensArrived e -> {
        State state = current(e.attempt());
        if (state != null) {
          state.tokens += e.count();
        }
      }
      case RoutingEvent.DecodeFinished e -> {
        if (current(e.attempt()) != null) {
          states.remove(e.attempt().request());
          out.accept(new RoutingCommand.Complete(e.attempt().request()));
        }
      }
      case RoutingEvent.PrefillFailed e -> failed(e.attempt(), e.failure(), out);
      case RoutingEvent.DecodeFailed e -> failed(e.attempt(), e.failure(), out);
      default -> {}
    }
  }

  private void failed(AttemptId attempt, Failure failure, Consumer<RoutingCommand> out) {
    State state = current(attempt);
    if (state == null) {
      return;
    }
    state.cancel(out);
    if (failure != Failure.REFUSED && state.upstream != null) {
      state.excluded.add(state.upstream);
    }
    if (attempt.number() < MAX_ATTEMPTS) {
      start(attempt.request(), out);
    } else {
      states.remove(attempt.request());
      out.accept(
          new RoutingCommand.Refuse(
              attempt.request(), ErrorCode.UPSTREAM_FAILED, failure.name(), Duration.ZERO));
    }
  }

  private void start(RequestId request, Consumer<RoutingCommand> out) {
    State state = states.get(request);
    if (state == null) {
      return;
    }
    state.number++;
    state.attempt = new AttemptId(request, state.number);
    state.upstream = pick(false, state);
    out.accept(new RoutingCommand.Explain(request, "direct", "prefill on " + state.upstream));
    out.accept(new RoutingCommand.StartPrefill(state.attempt, state.upstream));
  }

  private @Nullable State current(AttemptId attempt) {
    State state = states.get(attempt.request());
    return state != null && attempt.equals(state.attempt) ? state : null;
  }

  private UpstreamId pick(boolean decode, State state) {
    List<UpstreamId> candidates =
        manifest == null
            ? List.of()
            : manifest.upstreams().stream()
                .filter(u -> decode ? u.role().decodes() : u.role().prefills())
                .map(Upstream::id)
                .filter(u -> !state.excluded.contains(u))
                .toList();
    return candidates.get(turn++ % candidates.size());
  }

  private static final class State {
    private final Set<UpstreamId> excluded = new HashSet<>();
    private int number;
    private int tokens;
    private @Nullable AttemptId attempt;
    private @Nullable UpstreamId upstream;

    void cancel(Consumer<RoutingCommand> out) {
      if (attempt != null && upstream != null) {
        out.accept(new RoutingCommand.CancelAttempt(attempt, upstream));
      }
    }
  }
}
