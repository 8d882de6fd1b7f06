package org.mustardlatch.gateway;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.CallRequest;

/** A protocol of the tests' own. */
final class PlainProtocol implements UpstreamProtocol {
  @Override
  public CallerRequest read(HttpHeaders headers) {
    String deadline = headers.get("Wait");
    return new CallerRequest(
        headers.get("Id"),
        deadline == null ? null : Long.parseLong(deadline),
        headers.getInt("Prompt", 100),
        100,
        0,
        List.of());
  }

  @Override
  public void prepare(HttpHeaders headers, UpstreamCallPlan plan) {
    headers.set("For", plan.target().id());
    switch (plan.work()) {
      case UpstreamCallPlan.Work.Whole w -> headers.set("Part", "whole");
      case UpstreamCallPlan.Work.Prefill p -> headers.set("Part", "prefill");
      case UpstreamCallPlan.Work.Decode d -> headers.set("Part", "decode " + d.reference());
    }
    if (plan.resumeAfter() != null) {
      headers.set("After", plan.resumeAfter());
    }
  }

  @Override
  public UpstreamHead read(HttpResponse response) {
    HttpHeaders h = response.headers();
    return new UpstreamHead(h.get("Id"), h.contains("Not-Run"), h.contains("Mark"), null);
  }

  @Override
  public ExportedKv readExport(byte[] body) {
    return new ExportedKv(new String(body, StandardCharsets.UTF_8), 100);
  }

  @Override
  public CallRequest reserve(Instance engine, int tokens, Duration life) {
    var head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/reserve");
    head.headers().set("Host", "engine");
    return new CallRequest(head, new byte[0], true, r -> true);
  }

  @Override
  public String readReservation(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  @Override
  public HttpRequest dropReservation(Instance engine, String reservation) {
    return request("/reserve/" + reservation);
  }

  @Override
  public HttpRequest release(UpstreamCallPlan.Work.Decode kv) {
    return request("/kv/" + kv.reference());
  }

  private static HttpRequest request(String path) {
    var head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.DELETE, path);
    head.headers().set("Host", "engine");
    return head;
  }
}
