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
import org.mustardlatch.daemon.routing.GenerationExchange;
import org.mustardlatch.daemon.routing.GenerationInput;
import org.mustardlatch.daemon.routing.ResponseSink;
import org.mustardlatch.daemon.routing.RoutingService;

/** Takes generation requests through all stages. Runs on a virtual thread for each request. */
final class GenerationHandler {
  /** The whole answer may take this many times its target before it is of no use. */
  private static final int FINAL_DEADLINE_FACTOR = 4;

  private static final Duration FINAL_DEADLINE_MARGIN = Duration.ofSeconds(30);

  private final Gate gate;
  private final ManifestInForce manifest;
  private final WorkspaceLimits limits;
  private final RoutingService routing;
  private final RequestMetrics metrics;

  GenerationHandler(
      Gate gate,
      ManifestInForce manifest,
      WorkspaceLimits limits,
      RoutingService routing,
      RequestMetrics metrics) {
    this.gate = gate;
    this.manifest = manifest;
    this.limits = limits;
    this.routing = routing;
    this.metrics = metrics;
  }

  void handle(Context ctx, RequestId id, boolean chat) throws IOException, InterruptedException {
    gate.check();
    Manifest inForce = manifest.orThrow();
    Workspace workspace = Authenticator.authenticate(inForce, ctx.header("Authorization"));
    byte[] body = BodyReader.read(ctx);
    GenerationInput input = GenerationReader.read(body, chat, inForce);
    try (WorkspaceLimits.Place place = limits.enter(workspace)) {
      GenerationRequest request = classify(id, workspace, input, body.length, inForce);
      run(ctx, new GenerationExchange(request, input, new ResponseSink(metrics.lateAnswers())));
    }
  }

  private void run(Context ctx, GenerationExchange exchange)
      throws IOException, InterruptedException {
    AnswerWriter writer = new AnswerWriter(ctx, exchange);
    routing.submit(exchange);
    try {
      metrics.ended(writer.write() == AnswerWriter.Ending.COMPLETE, writer.tokens());
    } catch (IOException | InterruptedException e) {
      routing.callerDisconnected(exchange);
      metrics.callerGone();
      throw e;
    }
  }

  private static GenerationRequest classify(
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
        ContentHashes.prefixBlocks(input),
        ContentHashes.fingerprint(input),
        now + model.firstTokenTarget().toNanos(),
        now + whole.toNanos());
  }
}
