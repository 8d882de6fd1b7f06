package org.mustardlatch.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.config.CallerLimits;
import org.mustardlatch.gateway.http.BufferBudget;
import org.mustardlatch.gateway.http.CallerExchange;
import org.mustardlatch.gateway.http.CallerHandler;
import org.mustardlatch.gateway.http.CallerServer;

/** Serves small pages by path, such as readiness and metrics. */
final class PageServer implements CallerHandler {
  /**
   * A page.
   *
   * @param status HTTP status
   * @param contentType value of the Content-Type header
   * @param body text of the page
   */
  record Page(int status, String contentType, String body) {}

  private static final long BUFFER_BYTES = 1 << 20;

  private final CallerServer server;
  private final Map<String, Supplier<Page>> pages = new HashMap<>();

  PageServer(EventLoop loop, TimerService timers, InetSocketAddress address) {
    // Readiness and metrics are served also when the memory for callers is used up.
    this.server =
        new CallerServer(
            loop,
            timers,
            address,
            this,
            () -> CallerLimits.DEFAULT,
            new BufferBudget(BUFFER_BYTES));
  }

  /** Adds a page whose content is computed at every request to its path. */
  void addPage(String path, Supplier<Page> content) {
    pages.put(path, content);
  }

  void start() {
    server.start();
  }

  @Override
  public void requestReceived(CallerExchange exchange) {
    String target = exchange.head().uri();
    int query = target.indexOf('?');
    Supplier<Page> page = pages.get(query < 0 ? target : target.substring(0, query));
    Page p = page == null ? new Page(404, "text/plain", "not found\n") : page.get();
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.set("Content-Type", p.contentType());
    exchange.sendResponse(
        HttpResponseStatus.valueOf(p.status()), headers, p.body().getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void callerDisconnected(CallerExchange exchange) {}
}
