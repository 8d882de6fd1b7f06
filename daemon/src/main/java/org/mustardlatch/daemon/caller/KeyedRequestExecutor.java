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

/**
 * Executes requests with an idempotency key at most once. The ledger decides whether a request may
 * be dispatched; this class then sends it exactly once and reports the outcome to the ledger.
 */
final class KeyedRequestExecutor {
  static final String KEY_HEADER = "Idempotency-Key";

  private static final int MAX_KEY_CHARS = 255;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration LOOKUP_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration CONNECTION_CHECK_INTERVAL = Duration.ofMillis(250);

  private final LedgerService ledger;
  private final ApplicationClient applications;

  KeyedRequestExecutor(LedgerService ledger, ApplicationClient applications) {
    this.ledger = ledger;
    this.applications = applications;
  }

  /**
   * Executes a request and returns the response of the only execution under its key, which may be
   * the recorded response of an earlier request. Blocks until the outcome is decided.
   *
   * @throws MustardlatchException if the request was not executed, is still being executed for an
   *     earlier call, or its outcome is unknown
   */
  Responded execute(
      Context ctx,
      Workspace workspace,
      Route route,
      UpstreamId upstream,
      ApplicationRequest request)
      throws InterruptedException {
    String key = requireKey(ctx.header(KEY_HEADER));
    long deadlineNanos = System.nanoTime() + REQUEST_TIMEOUT.toNanos();
    KeyedRequestHandle call =
        ledger.begin(workspace.id(), key, requestDigest(request), deadlineNanos);
    @Nullable Responded ownResponse = null;
    if (awaitDispatchPermission(call, new CallerConnection(ctx)) && call.claimDispatch()) {
      ApplicationResult result =
          applications.sendOnce(upstream, request, remainingTime(deadlineNanos));
      if (result instanceof ApplicationResult.Unknown) {
        result =
            lookUpOutcome(route, upstream, key).map(ApplicationResult.class::cast).orElse(result);
      }
      ownResponse = result instanceof Responded answered ? answered : null;
      var unused = call.finish(toDispatchOutcome(result));
    }
    return toResponse(
        awaitReply(call.response()), ownResponse, () -> lookUpOutcome(route, upstream, key));
  }

  private static Responded toResponse(
      KeyedResponse reply, @Nullable Responded ownResponse, OutcomeLookup lookup) {
    return switch (reply) {
      case KeyedResponse.Ran r -> {
        if (ownResponse == null) {
          throw outcomeUnknown();
        }
        yield ownResponse;
      }
      case KeyedResponse.Recorded r -> recordedResponse(r);
      case KeyedResponse.NotRun r ->
          throw new RefusedException(r.code(), "not run: " + r.code().wireName(), r.retryAfter());
      case KeyedResponse.InProgress r ->
          throw new RefusedException(
              ErrorCode.IN_PROGRESS,
              "the first request with this key is still in progress",
              r.retryAfter());
      case KeyedResponse.OutcomeUnknown r ->
          lookup.find().orElseThrow(KeyedRequestExecutor::outcomeUnknown);
      case KeyedResponse.KeyReused r ->
          throw new MustardlatchException(
              ErrorCode.IDEMPOTENCY_KEY_REUSED, "the key was used for another request");
      case KeyedResponse.KeyExpired r ->
          throw new MustardlatchException(
              ErrorCode.IDEMPOTENCY_KEY_EXPIRED, "the key is older than the retention period");
    };
  }

  private static Responded recordedResponse(KeyedResponse.Recorded recorded) {
    String text = recorded.response();
    if (text != null) {
      return RecordedResponseCodec.decode(recorded.status(), text);
    }
    String note = "{\"note\":\"it ran; its answer was too long or is too old to be repeated\"}";
    return new Responded(
        recorded.status(),
        Map.of("Content-Type", List.of("application/json")),
        ByteString.encodeUtf8(note));
  }

  private static DispatchOutcome toDispatchOutcome(ApplicationResult result) {
    return switch (result) {
      case Responded a ->
          new DispatchOutcome.Completed(a.status(), RecordedResponseCodec.encode(a));
      case ApplicationResult.NotSent n -> new DispatchOutcome.NotSent();
      case ApplicationResult.Unknown u -> new DispatchOutcome.Unknown();
    };
  }

  /** Requests the outcome of a key from the service, if the route has an outcome path. */
  private Optional<Responded> lookUpOutcome(Route route, UpstreamId upstream, String key) {
    String path = route.outcomePath();
    if (path == null) {
      return Optional.empty();
    }
    ApplicationRequest request =
        new ApplicationRequest("GET", path + "/" + key, Map.of(), ByteString.EMPTY);
    return applications.send(upstream, request, LOOKUP_TIMEOUT) instanceof Responded answered
            && answered.status() / 100 == 2
        ? Optional.of(answered)
        : Optional.empty();
  }

  /**
   * Waits until the ledger decides whether the request may be dispatched. Returns false if it must
   * not be dispatched or the caller has disconnected.
   */
  private static boolean awaitDispatchPermission(
      KeyedRequestHandle call, CallerConnection connection) throws InterruptedException {
    while (true) {
      try {
        return call.dispatchPermitted()
            .get(CONNECTION_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
      } catch (TimeoutException e) {
        if (connection.isClosed()) {
          call.callerDisconnected();
          return false;
        }
      } catch (ExecutionException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private static KeyedResponse awaitReply(CompletableFuture<KeyedResponse> reply)
      throws InterruptedException {
    try {
      return reply.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String requireKey(@Nullable String header) {
    if (header == null || !header.matches("[\\x21-\\x7e]{1," + MAX_KEY_CHARS + "}")) {
      throw new MustardlatchException(
          ErrorCode.INVALID_ARGUMENT,
          "header Idempotency-Key must have 1 to %d printable characters without spaces"
              .formatted(MAX_KEY_CHARS));
    }
    return header;
  }

  private static String requestDigest(ApplicationRequest request) {
    return Hashing.sha256()
        .newHasher()
        .putString(request.method() + " " + request.pathAndQuery() + "\n", StandardCharsets.UTF_8)
        .putBytes(request.body().toByteArray())
        .hash()
        .toString();
  }

  /** Returns the time until the deadline, at least 1 ms. */
  private static Duration remainingTime(long deadlineNanos) {
    return Duration.ofNanos(Math.max(1_000_000, deadlineNanos - System.nanoTime()));
  }

  private static MustardlatchException outcomeUnknown() {
    return new MustardlatchException(
        ErrorCode.OUTCOME_UNKNOWN,
        "it may have run and will not run again under this key; repeat with the same key");
  }

  private interface OutcomeLookup {
    Optional<Responded> find();
  }
}
