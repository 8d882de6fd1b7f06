package org.mustardlatch.daemon.caller;

import io.javalin.http.Context;
import java.io.IOException;
import java.time.Duration;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.manifest.Workspace;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.daemon.node.ActiveManifest;
import org.mustardlatch.daemon.operator.RequestMetrics;
import org.mustardlatch.daemon.routing.GenerationExchange;
import org.mustardlatch.daemon.routing.GenerationInput;
import org.mustardlatch.daemon.routing.ResponseSink;
import org.mustardlatch.daemon.routing.RoutingService;

/**
 * Handles generation requests from authentication to the end of the response. Each request runs on
 * a virtual thread of its own, which blocks until the response is written.
 */
final class GenerationHandler {
  /**
   * Time until the final deadline, as a multiple of the latency target of the whole response;
   * {@link #FINAL_DEADLINE_MARGIN} is added. At the final deadline the request is cancelled,
   * because its response is assumed to be of no use to the caller any more.
   */
  private static final int FINAL_DEADLINE_FACTOR = 4;

  private static final Duration FINAL_DEADLINE_MARGIN = Duration.ofSeconds(30);

  private final ReadinessCheck readiness;
  private final ActiveManifest manifest;
  private final WorkspaceLimiter limiter;
  private final RoutingService routing;
  private final RequestMetrics metrics;

  GenerationHandler(
      ReadinessCheck readiness,
      ActiveManifest manifest,
      WorkspaceLimiter limiter,
      RoutingService routing,
      RequestMetrics metrics) {
    this.readiness = readiness;
    this.manifest = manifest;
    this.limiter = limiter;
    this.routing = routing;
    this.metrics = metrics;
  }

  /**
   * Handles one request and returns when the response is written.
   *
   * @param chat whether it is a chat completion request
   * @throws IOException if the caller has disconnected
   */
  void handle(Context ctx, RequestId id, boolean chat) throws IOException, InterruptedException {
    readiness.requireAccepting();
    Manifest activeManifest = manifest.currentOrThrow();
    Workspace workspace = Authenticator.authenticate(activeManifest, ctx.header("Authorization"));
    byte[] body = BodyReader.read(ctx);
    GenerationInput input = GenerationInputParser.parse(body, chat, activeManifest);
    try (WorkspaceLimiter.Slot slot = limiter.acquire(workspace)) {
      GenerationRequest request = createRequest(id, workspace, input, body.length, activeManifest);
      routeAndRespond(
          ctx, new GenerationExchange(request, input, new ResponseSink(metrics.droppedChunks())));
    }
  }

  private void routeAndRespond(Context ctx, GenerationExchange exchange)
      throws IOException, InterruptedException {
    CompletionWriter writer = new CompletionWriter(ctx, exchange);
    routing.submit(exchange);
    try {
      metrics.recordResponse(
          writer.write() == CompletionWriter.WriteOutcome.COMPLETE, writer.tokenCount());
    } catch (IOException | InterruptedException e) {
      routing.callerDisconnected(exchange);
      metrics.recordDisconnect();
      throw e;
    }
  }

  private static GenerationRequest createRequest(
      RequestId id, Workspace workspace, GenerationInput input, int bodyBytes, Manifest manifest) {
    long nowNanos = System.nanoTime();
    Model model = manifest.model(input.model()).orElseThrow();
    Duration timeToFinalDeadline =
        model
            .firstTokenTarget()
            .plus(model.tokenGapTarget().multipliedBy(input.maxTokens()))
            .multipliedBy(FINAL_DEADLINE_FACTOR)
            .plus(FINAL_DEADLINE_MARGIN);
    return new GenerationRequest(
            id,
            workspace.id(),
            input.model(),
            input.promptTokens(),
            input.maxTokens(),
            bodyBytes,
            ContentHashes.prefixBlockHashes(input),
            ContentHashes.fingerprint(input),
            nowNanos + model.firstTokenTarget().toNanos(),
            nowNanos + timeToFinalDeadline.toNanos())
        .withPromptParts(ContentHashes.sharedPromptParts(input));
  }
}
