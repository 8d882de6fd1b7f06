package org.mustardlatch.daemon.routing;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.routing.GenerationRequest;

/**
 * A generation request in progress on its entry node (the node that holds the caller's connection).
 * Safe for use by several threads.
 */
public final class GenerationExchange {
  private final GenerationRequest request;
  private final GenerationInput input;
  private final ResponseSink sink;
  private final Map<String, JsonNode> transferParameters = new ConcurrentHashMap<>();

  /** Creates an exchange without attempts. */
  public GenerationExchange(GenerationRequest request, GenerationInput input, ResponseSink sink) {
    this.request = request;
    this.input = input;
    this.sink = sink;
  }

  /** Returns the id of the request. */
  public RequestId id() {
    return request.id();
  }

  /** Returns the request as the routing policy receives it. */
  public GenerationRequest request() {
    return request;
  }

  /** Returns the validated input of the caller. */
  public GenerationInput input() {
    return input;
  }

  /** Returns the sink that passes output to the caller. */
  public ResponseSink sink() {
    return sink;
  }

  /**
   * Stores the KV transfer parameters that a prefill engine returned, for the decode call.
   *
   * @param reference identifies the KV cache on its prefill engine
   */
  public void storeTransferParameters(String reference, JsonNode parameters) {
    transferParameters.put(reference, parameters);
  }

  /**
   * Returns the transfer parameters of a KV cache, or empty when no prefill call of this exchange
   * returned them.
   */
  public Optional<JsonNode> transferParameters(String reference) {
    return Optional.ofNullable(transferParameters.get(reference));
  }
}
