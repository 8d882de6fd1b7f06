package org.mustardlatch.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.CallRequest;

/** The platform-specific HTTP headers and requests of callers and upstreams. */
public interface PlatformProtocol {
  /**
   * Reads the headers of a caller's request.
   *
   * @throws IllegalArgumentException if a header that routing needs cannot be parsed
   */
  RequestMetadata readRequest(HttpHeaders headers);

  /** Returns the API key in the headers of a caller's request, or null if there is none. */
  @Nullable String readApiKey(HttpHeaders headers);

  /** Removes the headers that only the router may set and adds those of a call. */
  void rewriteHeaders(HttpHeaders headers, UpstreamCallPlan plan);

  /** Reads the head of an upstream's response. A header that cannot be parsed counts as absent. */
  ResponseMetadata readResponse(HttpResponse response);

  /**
   * Reads the body of a successful prefill response.
   *
   * @throws IllegalArgumentException if it cannot be parsed
   */
  ExportedKv readPrefillResponse(byte[] body);

  /**
   * Returns the request that reserves a slot and KV memory at an engine.
   *
   * @param tokens number of tokens to reserve memory for
   * @param timeToLive time after which the engine drops an unused reservation
   */
  CallRequest reservationRequest(Instance engine, int tokens, Duration timeToLive);

  /**
   * Reads the body of a successful reservation response.
   *
   * @return the engine's id of the reservation
   * @throws IllegalArgumentException if it cannot be parsed
   */
  String readReservationId(byte[] body);

  /** Returns the request that releases a reservation. */
  HttpRequest releaseReservationRequest(Instance engine, String reservationId);

  /** Returns the request that frees a KV cache at the engine that retains it. */
  HttpRequest releaseKvRequest(UpstreamCallPlan.Work.Decode kv);
}
