package org.mustardlatch.replay;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.routing.RoutingPolicy;
import org.mustardlatch.core.routing.TimerKey;

/**
 * Independent choice on each node: prefill on a chosen engine, then decode on a chosen engine. A
 * refused decode goes to another engine while the KV cache lives; otherwise the prefill is
 * repeated, up to three prefills a request, the last one in the other region if there is one. Gives
 * up at both deadlines.
 */
final class BaselinePolicy implements RoutingPolicy {
  private static final int MAX_PREFILLS = 3;
  private static final long LEAST_KV_LIFE_NANOS = 50_000_000;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final String FIRST_TOKEN = "first-token";
  private static final String FINAL = "final";

  private final RegionId region;
  private final EngineChooser chooser;
  private final EngineView view = new EngineView();
  private final Map<RequestId, Job> jobs = new HashMap<>();

  BaselinePolicy(RegionId region, EngineChooser chooser) {
    this.region = region;
    this.chooser = chooser;
  }

  @Override
  public void handle(RoutingEvent event, long now, Consumer<RoutingCommand> out) {
    switch (event) {
      case RoutingEvent.RequestArrived e -> arrive(e.request(), now, out);
      case RoutingEvent.CallerDisconnected e -> drop(jobs.remove(e.request()), out);
      case RoutingEvent.PrefillFinished e -> {
        Job job = current(e.attempt());
        if (job != null) {
          job.handle = e.handle();
          decode(job, now, out);
        }
      }
      case RoutingEvent.PrefillFailed e -> failed(e.attempt(), e.failure(), now, out);
      case RoutingEvent.DecodeFailed e -> failed(e.attempt(), e.failure(), now, out);
      case RoutingEvent.TokensArrived e -> tokens(e, out);
      case RoutingEvent.DecodeFinished e -> finish(e.attempt(), out);
      case RoutingEvent.LoadReported e -> view.report(e.upstream(), e.report());
      case RoutingEvent.ManifestApplied e -> view.apply(e.manifest());
      case RoutingEvent.UpstreamPaused e -> {
        // The baseline knows no pauses.
      }
      case RoutingEvent.UpstreamLeaving e -> view.leaving(e.upstream());
      case RoutingEvent.TimerFired e -> {
        Job job = jobs.get(new RequestId(e.key().subject()));
        if (job != null) {
          refuse(job, ErrorCode.DEADLINE_EXCEEDED, out);
        }
      }
      case RoutingEvent.DecodeStarted e -> {}
      case RoutingEvent.UpstreamCrashed e -> {}
      case RoutingEvent.ApplicationRunRequested e -> {}
      case RoutingEvent.ApplicationStartRequested e -> {}
      case RoutingEvent.UpstreamLimitStated e -> {}
      case RoutingEvent.AllowancesApplied e -> {}
      case RoutingEvent.SpendRequested e -> {}
      case RoutingEvent.SpendReturned e -> {}
      case RoutingEvent.ApplicationRunEnded e -> {}
      case RoutingEvent.ApplicationRunCompleted e -> {}
      case RoutingEvent.EngineReserved e -> {}
      case RoutingEvent.EngineReservationFailed e -> {}
      case RoutingEvent.AttemptsListed e -> {}
      case RoutingEvent.PeerMessageReceived e -> {}
      case RoutingEvent.MembersChanged e -> {}
      case RoutingEvent.DrainRequested e -> {}
    }
  }

  private void arrive(GenerationRequest request, long now, Consumer<RoutingCommand> out) {
    Job job = new Job(request);
    jobs.put(request.id(), job);
    out.accept(
        new RoutingCommand.SetTimer(job.timer(FIRST_TOKEN), request.firstTokenDeadlineNanos()));
    out.accept(new RoutingCommand.SetTimer(job.timer(FINAL), request.finalDeadlineNanos()));
    prefill(job, now, out);
  }

  private void prefill(Job job, long now, Consumer<RoutingCommand> out) {
    job.handle = null;
    job.refused.clear();
    if (job.prefills == MAX_PREFILLS) {
      refuse(job, ErrorCode.OVERLOADED, out);
      return;
    }
    job.prefills++;
    List<Upstream> choice = prefillEngines(job, job.prefills == MAX_PREFILLS, now);
    if (choice.isEmpty()) {
      choice = prefillEngines(job, job.prefills != MAX_PREFILLS, now);
    }
    if (choice.isEmpty()) {
      refuse(job, ErrorCode.UPSTREAM_UNAVAILABLE, out);
      return;
    }
    UpstreamId engine = dispatch(job, choice, now);
    out.accept(new RoutingCommand.StartPrefill(job.attempt(), engine));
  }

  private List<Upstream> prefillEngines(Job job, boolean outside, long now) {
    return view.engines(job.request.model(), region, outside, now).stream()
        .filter(u -> u.role().prefills() && !job.failed.contains(u.id()))
        .toList();
  }

  private void decode(Job job, long now, Consumer<RoutingCommand> out) {
    KvHandle handle = job.handle;
    if (handle == null || now + LEAST_KV_LIFE_NANOS > handle.expiresNanos()) {
      prefill(job, now, out);
      return;
    }
    RegionId near = view.regionOf(handle.source());
    List<Upstream> choice =
        view.engines(job.request.model(), near, false, now).stream()
            .filter(u -> u.role().decodes() && !job.refused.contains(u.id()))
            .toList();
    if (choice.isEmpty()) {
      prefill(job, now, out);
      return;
    }
    UpstreamId engine = dispatch(job, choice, now);
    out.accept(new RoutingCommand.StartDecode(job.attempt(), engine, handle, job.tokens));
  }

  private UpstreamId dispatch(Job job, List<Upstream> choice, long now) {
    UpstreamId engine = chooser.choose(choice, u -> view.load(u, now)).id();
    view.sent(engine, now);
    job.number++;
    job.engine = engine;
    return engine;
  }

  private void failed(AttemptId attempt, Failure failure, long now, Consumer<RoutingCommand> out) {
    Job job = current(attempt);
    if (job == null || job.engine == null) {
      return;
    }
    boolean broken = failure != Failure.REFUSED && failure != Failure.KV_EXPIRED;
    if (broken) {
      view.eject(job.engine, now);
    }
    if (job.handle == null) {
      job.failed.add(job.engine);
      prefill(job, now, out);
    } else if (failure == Failure.REFUSED) {
      job.refused.add(job.engine);
      decode(job, now, out);
    } else {
      prefill(job, now, out);
    }
  }

  private void tokens(RoutingEvent.TokensArrived e, Consumer<RoutingCommand> out) {
    Job job = current(e.attempt());
    if (job != null) {
      if (job.tokens == 0) {
        out.accept(new RoutingCommand.CancelTimer(job.timer(FIRST_TOKEN)));
      }
      job.tokens += e.count();
    }
  }

  private void finish(AttemptId attempt, Consumer<RoutingCommand> out) {
    Job job = current(attempt);
    if (job != null) {
      jobs.remove(attempt.request());
      out.accept(new RoutingCommand.CancelTimer(job.timer(FINAL)));
      out.accept(new RoutingCommand.Complete(attempt.request()));
    }
  }

  private void refuse(Job job, ErrorCode code, Consumer<RoutingCommand> out) {
    drop(jobs.remove(job.request.id()), out);
    Duration after = job.tokens > 0 ? Duration.ZERO : RETRY_AFTER;
    out.accept(new RoutingCommand.Refuse(job.request.id(), code, "after " + job.prefills, after));
  }

  private static void drop(@Nullable Job job, Consumer<RoutingCommand> out) {
    if (job == null) {
      return;
    }
    if (job.engine != null) {
      out.accept(new RoutingCommand.CancelAttempt(job.attempt(), job.engine));
    }
    if (job.handle != null) {
      out.accept(new RoutingCommand.ReleaseKv(job.handle));
    }
    out.accept(new RoutingCommand.CancelTimer(job.timer(FIRST_TOKEN)));
    out.accept(new RoutingCommand.CancelTimer(job.timer(FINAL)));
  }

  private @Nullable Job current(AttemptId attempt) {
    Job job = jobs.get(attempt.request());
    return job != null && job.number == attempt.number() ? job : null;
  }

  /** A request in progress. */
  private static final class Job {
    private final GenerationRequest request;
    private final Set<UpstreamId> failed = new HashSet<>();
    private final Set<UpstreamId> refused = new HashSet<>();
    private @Nullable UpstreamId engine;
    private @Nullable KvHandle handle;
    private int number;
    private int prefills;
    private int tokens;

    Job(GenerationRequest request) {
      this.request = request;
    }

    AttemptId attempt() {
      return new AttemptId(request.id(), Math.max(1, number));
    }

    TimerKey timer(String kind) {
      return new TimerKey(kind, request.id().value());
    }
  }
}
