package org.mustardlatch.daemon.caller;

import com.google.common.hash.Hashing;
import io.javalin.http.Context;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import okio.ByteString;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.ledger.DispatchOutcome;
import org.mustardlatch.core.ledger.KeyedResponse;
import org.mustardlatch.core.manifest.Route;
import org.mustardlatch.core.manifest.Workspace;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.daemon.ledger.KeyedRequestHandle;
import org.mustardlatch.daemon.ledger.LedgerService;
import org.mustardlatch.daemon.upstream.ApplicationClient;
import org.mustardlatch.daemon.upstream.ApplicationRequest;
import org.mustardlatch.daemon.upstream.ApplicationResult;
import org.mustardlatch.daemon.upstream.ApplicationResult.Responded;

/** Runs calls that must not run twice: the ledger decides whether, this class dispatches once. */
final class KeyedWork {
  static final String KEY_HEADER = "Idempotency-Key";

  private static final int MAX_KEY_CHARS = 255;
  private static final Duration DEADLINE = Duration.ofSeconds(30);
  private static final Duration LOOK_UP_LIMIT = Duration.ofSeconds(3);
  private static final Duration CONNECTION_CHECK = Duration.ofMillis(250);

  private final LedgerService ledger;
  private final ApplicationClient applications;

  KeyedWork(LedgerService ledger, ApplicationClient applications) {
    this.ledger = ledger;
    this.applications = applications;
  }

  /**
   * Returns the answer of the only run.
   *
   * @throws MustardlatchException when it did not run for this call or its outcome is not known
   */
  Responded run(
      Context ctx,
      Workspace workspace,
      Route route,
      UpstreamId upstream,
      ApplicationRequest request)
      throws InterruptedException {
    String key = key(ctx.header(KEY_HEADER));
    long deadlineNanos = System.nanoTime() + DEADLINE.toNanos();
    KeyedRequestHandle call = ledger.begin(workspace.id(), key, digest(request), deadlineNanos);
    @Nullable Responded own = null;
    if (awaitPermission(call, new CallerConnection(ctx)) && call.claimDispatch()) {
      ApplicationResult result = applications.sendOnce(upstream, request, left(deadlineNanos));
      if (result instanceof ApplicationResult.Unknown) {
        result = lookUp(route, upstream, key).map(ApplicationResult.class::cast).orElse(result);
      }
      own = result instanceof Responded answered ? answered : null;
      var unused = call.finish(outcome(result));
    }
    return answer(await(call.response()), own, () -> lookUp(route, upstream, key));
  }

  private static Responded answer(KeyedResponse reply, @Nullable Responded own, LookUp lookUp) {
    return switch (reply) {
      case KeyedResponse.Ran r -> {
        if (own == null) {
          throw unknown();
        }
        yield own;
      }
      case KeyedResponse.Recorded r -> recorded(r);
      case KeyedResponse.NotRun r ->
          throw new RefusedException(r.code(), "not run: " + r.code().wireName(), r.retryAfter());
      case KeyedResponse.InProgress r ->
          throw new RefusedException(
              ErrorCode.IN_PROGRESS, "the first call with this key is in progress", r.retryAfter());
      case KeyedResponse.OutcomeUnknown r -> lookUp.find().orElseThrow(KeyedWork::unknown);
      case KeyedResponse.KeyReused r ->
          throw new MustardlatchException(
              ErrorCode.IDEMPOTENCY_KEY_REUSED, "the key was used for another request");
      case KeyedResponse.KeyExpired r ->
          throw new MustardlatchException(
              ErrorCode.IDEMPOTENCY_KEY_EXPIRED, "the key is older than the retention");
    };
  }

  private static Responded recorded(KeyedResponse.Recorded recorded) {
    String text = recorded.response();
    if (text != null) {
      return RecordedAnswer.decode(recorded.status(), text);
    }
    String note = "{\"note\":\"it ran; its answer was too long or is too old to be repeated\"}";
    return new Responded(
        recorded.status(),
        Map.of("Content-Type", List.of("application/json")),
        ByteString.encodeUtf8(note));
  }

  private static DispatchOutcome outcome(ApplicationResult result) {
    return switch (result) {
      case Responded a -> new DispatchOutcome.Completed(a.status(), RecordedAnswer.encode(a));
      case ApplicationResult.NotSent n -> new DispatchOutcome.NotSent();
      case ApplicationResult.Unknown u -> new DispatchOutcome.Unknown();
    };
  }

  /** Asks the service for the outcome of a key, where the route names a path for that. */
  private Optional<Responded> lookUp(Route route, UpstreamId upstream, String key) {
    String path = route.outcomePath();
    if (path == null) {
      return Optional.empty();
    }
    ApplicationRequest request =
        new ApplicationRequest("GET", path + "/" + key, Map.of(), ByteString.EMPTY);
    return applications.send(upstream, request, LOOK_UP_LIMIT) instanceof Responded answered
            && answered.status() / 100 == 2
        ? Optional.of(answered)
        : Optional.empty();
  }

  private static boolean awaitPermission(KeyedRequestHandle call, CallerConnection connection)
      throws InterruptedException {
    while (true) {
      try {
        return call.dispatchPermitted().get(CONNECTION_CHECK.toMillis(), TimeUnit.MILLISECONDS);
      } catch (TimeoutException e) {
        if (connection.isGone()) {
          call.callerDisconnected();
          return false;
        }
      } catch (ExecutionException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private static KeyedResponse await(CompletableFuture<KeyedResponse> reply)
      throws InterruptedException {
    try {
      return reply.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String key(@Nullable String header) {
    if (header == null || !header.matches("[\\x21-\\x7e]{1," + MAX_KEY_CHARS + "}")) {
      throw new MustardlatchException(
          ErrorCode.INVALID_ARGUMENT,
          "header Idempotency-Key must have 1 to %d printable characters without spaces"
              .formatted(MAX_KEY_CHARS));
    }
    return header;
  }

  private static String digest(ApplicationRequest request) {
    return Hashing.sha256()
        .newHasher()
        .putString(request.method() + " " + request.pathAndQuery() + "\n", StandardCharsets.UTF_8)
        .putBytes(request.body().toByteArray())
        .hash()
        .toString();
  }

  private static Duration left(long deadlineNanos) {
    return Duration.ofNanos(Math.max(1_000_000, deadlineNanos - System.nanoTime()));
  }

  private static MustardlatchException unknown() {
    return new MustardlatchException(
        ErrorCode.OUTCOME_UNKNOWN,
        "it may have run and will not run again under this key; repeat with the same key");
  }

  private interface LookUp {
    Optional<Responded> find();
  }
}
