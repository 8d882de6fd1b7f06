package org.mustardlatch.daemon.caller;

import io.javalin.http.Context;
import java.io.IOException;
import java.time.Duration;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.manifest.Workspace;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.daemon.node.ManifestInForce;
import org.mustardlatch.daemon.operator.RequestMetrics;
import org.mustardlatch.daemon.routing.Exchange;
import org.mustardlatch.daemon.routing.GenerationInput;
import org.mustardlatch.daemon.routing.ResponseSink;
import org.mustardlatch.daemon.routing.RoutingService;

/** Takes generation requests through all stages. Runs on a virtual thread for each request. */
final class GenerationHandler {
  /** The whole answer may take this many times its target before it is of no use. */
  private static final int FINAL_DEADLINE_FACTOR = 4;

  private static final Duration FINAL_DEADLINE_MARGIN = Duration.ofSeconds(30);

  private final ReadinessCheck readiness;
  private final ManifestInForce manifest;
  private final WorkspaceLimiter limiter;
  private final RoutingService routing;
  private final RequestMetrics metrics;

  GenerationHandler(
      ReadinessCheck gate,
      ManifestInForce manifest,
      WorkspaceLimiter limits,
      RoutingService routing,
      RequestMetrics metrics) {
    this.readiness = gate;
    this.manifest = manifest;
    this.limiter = limits;
    this.routing = routing;
    this.metrics = metrics;
  }

  void handle(Context ctx, RequestId id, boolean chat) throws IOException, InterruptedException {
    readiness.requireAccepting();
    Manifest inForce = manifest.orThrow();
    Workspace workspace = Authenticator.authenticate(inForce, ctx.header("Authorization"));
    byte[] body = BodyReader.read(ctx);
    GenerationInput input = GenerationInputParser.parse(body, chat, inForce);
    try (WorkspaceLimiter.Slot place = limiter.acquire(workspace)) {
      GenerationRequest request = createRequest(id, workspace, input, body.length, inForce);
      routeAndRespond(ctx, new Exchange(request, input, new ResponseSink(metrics.staleChunks())));
    }
  }

  private void routeAndRespond(Context ctx, Exchange exchange) throws IOException, InterruptedException {
    CompletionWriter writer = new CompletionWriter(ctx, exchange);
    routing.submit(exchange);
    try {
      metrics.recordResponse(writer.write() == CompletionWriter.WriteOutcome.COMPLETE, writer.tokenCount());
    } catch (IOException | InterruptedException e) {
      routing.callerGone(exchange);
      metrics.recordDisconnect();
      throw e;
    }
  }

  private static GenerationRequest createRequest(
      RequestId id, Workspace workspace, GenerationInput input, int bytes, Manifest manifest) {
    long now = System.nanoTime();
    Model model = manifest.model(input.model()).orElseThrow();
    Duration whole =
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
        bytes,
        ContentHashes.prefixBlockHashes(input),
        ContentHashes.fingerprint(input),
        now + model.firstTokenTarget().toNanos(),
        now + whole.toNanos());
  }
}
