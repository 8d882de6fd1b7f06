package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: lists in pages and watches, as the page on its protocol says. */
final class Store implements AutoCloseable {
  private static final String PATH = "/mustardlatch/objects/";
  private static final String IP = "127.0.0.1";

  private record Change(String kind, boolean removed, String object, long revision) {}

  /** Is called between the reading of a page of a list and the sending of the answer. */
  interface PageObserver {
    void pageRead(String kind, String after);
  }

  private final HttpServer server;
  private final Map<String, TreeMap<String, String>> kinds = new LinkedHashMap<>();
  private final List<Change> history = new ArrayList<>();
  private final int pageSize;
  private final long answerMillis;
  private long revision = 100;
  private long oldestWatch;
  private volatile PageObserver observer = (kind, after) -> {};

  /**
   * @param pageSize objects of a page of a list, at most
   * @param answerMillis time that an answer takes
   */
  Store(int pageSize, long answerMillis) throws IOException {
    this.pageSize = pageSize;
    this.answerMillis = answerMillis;
    server = HttpServer.create(new InetSocketAddress(IP, 0), 200);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext(PATH, this::handle);
    server.start();
  }

  String address() {
    return IP + ":" + server.getAddress().getPort();
  }

  void observePages(PageObserver o) {
    observer = o;
  }

  /** Drops the history; watches that wait are answered 410. */
  synchronized void forgetHistory() {
    revision++;
    oldestWatch = revision;
    history.clear();
    notifyAll();
  }

  /** Writes an object. */
  synchronized long put(String kind, String name, String specification) {
    revision++;
    String object =
        """
        {"metadata":{"name":"%s","revision":%d,"created":1,"finalizers":[],\
        "deletion_pending":false},"specification":%s,"status":null}"""
            .formatted(name, revision, specification);
    kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, object);
    history.add(new Change(kind, false, object, revision));
    notifyAll();
    return revision;
  }

  /** Removes an object. */
  synchronized void remove(String kind, String name) {
    String object = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
    if (object != null) {
      revision++;
      history.add(new Change(kind, true, object, revision));
      notifyAll();
    }
  }

  private void handle(HttpExchange x) throws IOException {
    try (x) {
      x.getRequestBody().readAllBytes();
      URI uri = x.getRequestURI();
      String kind = uri.getPath().substring(PATH.length());
      String watch = parameter(uri, "watch");
      Rig.sleep(answerMillis);
      String body;
      if (watch == null) {
        String after = parameter(uri, "after");
        body = list(kind, after);
        observer.pageRead(kind, after);
      } else {
        body = watch(kind, Long.parseLong(watch), Long.parseLong(parameter(uri, "wait_ms")));
      }
      byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
      x.getResponseHeaders().set("Content-Type", "application/json");
      x.getResponseHeaders().set("Store-Era", "1");
      x.sendResponseHeaders(body == null ? 410 : 200, bytes.length);
      x.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized String list(String kind, String after) {
    TreeMap<String, String> objects = kinds.getOrDefault(kind, new TreeMap<>());
    Map<String, String> rest = after == null ? objects : objects.tailMap(after, false);
    List<String> page = rest.values().stream().limit(pageSize).toList();
    return "{\"items\":[%s],\"has_more\":%s,\"at_revision\":%d}"
        .formatted(String.join(",", page), rest.size() > page.size(), revision);
  }

  private synchronized String watch(String kind, long since, long waitMillis)
      throws InterruptedException {
    long end = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      if (since < oldestWatch || since > revision) {
        return null;
      }
      List<String> events =
          history.stream()
              .filter(c -> c.kind().equals(kind) && c.revision() > since)
              .map(c -> "{\"removed\":" + c.removed() + ",\"object\":" + c.object() + "}")
              .toList();
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        return "{\"events\":[%s],\"at_revision\":%d}"
            .formatted(String.join(",", events), revision);
      }
      wait(left);
    }
  }

  private static String parameter(URI uri, String name) {
    if (uri.getRawQuery() != null) {
      for (String pair : uri.getRawQuery().split("&")) {
        if (pair.startsWith(name + "=")) {
          return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
    }
    return null;
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
