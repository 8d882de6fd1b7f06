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
 * Executes requests with an idempotency key at most once. The ledger, which stores a record of each
 * key, decides whether a request may be dispatched; this class then sends it to the application
 * service at most once and reports the outcome to the ledger. Safe for use by several threads; the
 * thread of a request blocks until its response is known.
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
   * Executes a request and returns the response of the only execution under its key. This may be
   * the recorded response of an earlier request, or, if the outcome is unknown, the response of the
   * service at the outcome path of the route. Blocks until the ledger has decided and the dispatch,
   * if any, has ended.
   *
   * @throws MustardlatchException if the request was not executed, an earlier request with the key
   *     is still in progress, the outcome is unknown, or the key is refused
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
    KeyedRequestHandle handle =
        ledger.begin(workspace.id(), key, requestDigest(request), deadlineNanos);
    @Nullable Responded ownResponse = null;
    if (awaitDispatchPermission(handle, new CallerConnection(ctx)) && handle.claimDispatch()) {
      ApplicationResult result = applications.send(upstream, request, remainingTime(deadlineNanos));
      if (result instanceof ApplicationResult.Unknown) {
        result =
            lookUpOutcome(route, upstream, key).map(ApplicationResult.class::cast).orElse(result);
      }
      ownResponse = result instanceof Responded responded ? responded : null;
      var unused = handle.finish(toDispatchOutcome(result));
    }
    return toResponse(
        awaitResponse(handle.response()), ownResponse, () -> lookUpOutcome(route, upstream, key));
  }

  private static Responded toResponse(
      KeyedResponse response, @Nullable Responded ownResponse, OutcomeLookup lookup) {
    return switch (response) {
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
              ErrorCode.IN_PROGRESS, "the first call with this key is in progress", r.retryAfter());
      case KeyedResponse.OutcomeUnknown r ->
          lookup.find().orElseThrow(KeyedRequestExecutor::outcomeUnknown);
      case KeyedResponse.KeyReused r ->
          throw new MustardlatchException(
              ErrorCode.IDEMPOTENCY_KEY_REUSED, "the key was used for another request");
      case KeyedResponse.KeyExpired r ->
          throw new MustardlatchException(
              ErrorCode.IDEMPOTENCY_KEY_EXPIRED, "the key is older than the retention");
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
      case Responded r ->
          new DispatchOutcome.Completed(r.status(), RecordedResponseCodec.encode(r));
      case ApplicationResult.NotSent n -> new DispatchOutcome.NotSent();
      case ApplicationResult.Unknown u -> new DispatchOutcome.Unknown();
    };
  }

  /**
   * Returns the response of the service at the outcome path of the route for a key; empty if the
   * route has no such path or no response with a 2xx status arrives.
   */
  private Optional<Responded> lookUpOutcome(Route route, UpstreamId upstream, String key) {
    String path = route.outcomePath();
    if (path == null) {
      return Optional.empty();
    }
    ApplicationRequest request =
        new ApplicationRequest("GET", path + "/" + key, Map.of(), ByteString.EMPTY);
    return applications.send(upstream, request, LOOKUP_TIMEOUT) instanceof Responded responded
            && responded.status() / 100 == 2
        ? Optional.of(responded)
        : Optional.empty();
  }

  /**
   * Waits until the ledger decides whether the request may be dispatched. Returns false if it must
   * not be dispatched or the caller has disconnected.
   */
  private static boolean awaitDispatchPermission(
      KeyedRequestHandle handle, CallerConnection connection) throws InterruptedException {
    while (true) {
      try {
        return handle
            .dispatchPermitted()
            .get(CONNECTION_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
      } catch (TimeoutException e) {
        if (connection.isClosed()) {
          handle.callerDisconnected();
          return false;
        }
      } catch (ExecutionException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private static KeyedResponse awaitResponse(CompletableFuture<KeyedResponse> response)
      throws InterruptedException {
    try {
      return response.get();
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

  /** Returns a digest by which the ledger detects that a key is reused for another request. */
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
