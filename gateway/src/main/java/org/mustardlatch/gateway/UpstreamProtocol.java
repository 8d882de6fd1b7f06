package org.mustardlatch.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.CallRequest;

/** How callers and upstreams of a platform say in HTTP what the data path must know. */
public interface UpstreamProtocol {
  /**
   * Reads a request of a caller.
   *
   * @throws IllegalArgumentException if a header that routing needs can't be read
   */
  CallerRequest read(HttpHeaders headers);

  /** Removes the headers that only the router may set and sets those of a call. */
  void prepare(HttpHeaders headers, UpstreamCallPlan plan);

  /** Reads the head of an upstream's answer; a header that can't be read counts as absent. */
  UpstreamHead read(HttpResponse response);

  /**
   * Reads the answer to a prefill.
   *
   * @throws IllegalArgumentException if it can't be read
   */
  ExportedKv readExport(byte[] body);

  /** Returns the request that reserves a slot and memory at an engine. */
  CallRequest reserve(Instance engine, int tokens, Duration life);

  /**
   * Reads the answer to a reservation that was made.
   *
   * @return the engine's name for it
   * @throws IllegalArgumentException if it can't be read
   */
  String readReservation(byte[] body);

  /** Returns the request that gives a reservation back. */
  HttpRequest dropReservation(Instance engine, String reservation);

  /** Returns the request that frees a KV cache at the engine that holds it. */
  HttpRequest release(UpstreamCallPlan.Work.Decode kv);
}
