package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Records the requests and responses of a session as text and compares them with a golden file.
 * Values that differ between runs (ids, times, ports, retry delays with jitter) are replaced by
 * placeholders. The system property {@code golden.update} rewrites the files; review their diff
 * before committing.
 */
final class SessionRecorder {
  private static final List<String[]> REPLACEMENTS =
      List.of(
          new String[] {"[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}", "<id>"},
          new String[] {"127\\.0\\.0\\.1:\\d+", "<address>"},
          new String[] {"\"created\":\\d+", "\"created\":<time>"},
          new String[] {"(?m)^retry-after: \\d+$", "retry-after: <seconds>"});

  private final String name;
  private final StringBuilder text = new StringBuilder();

  SessionRecorder(String name) {
    this.name = name;
  }

  /** Records the description of an action on the fleet, for example an injected fault. */
  void step(String description) {
    text.append("== ").append(description).append("\n");
  }

  /** Sends a request with the demo API key and records the request and its response. */
  TestHttpClient.Response call(
      int port, String method, String path, String body, String... headers) {
    HttpRequest.Builder request = TestHttpClient.request(InProcessFleet.url(port, path));
    request.method(
        method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
    text.append("> ").append(method).append(' ').append(path).append('\n');
    for (int i = 0; i < headers.length; i += 2) {
      request.setHeader(headers[i], headers[i + 1]);
      text.append(headers[i]).append(": ").append(headers[i + 1]).append('\n');
    }
    if (!body.isEmpty()) {
      text.append(abbreviate(body)).append('\n');
    }
    TestHttpClient.Response response = TestHttpClient.send(request.build());
    text.append("< ").append(response.status()).append('\n');
    for (String header : List.of("content-type", "retry-after")) {
      if (!response.header(header).isEmpty()) {
        text.append(header).append(": ").append(response.header(header)).append('\n');
      }
    }
    text.append(response.body().strip()).append('\n');
    return response;
  }

  private static String abbreviate(String body) {
    return body.length() <= 400 ? body : body.substring(0, 40) + "... " + body.length() + " bytes";
  }

  /** Fails if the recorded session differs from its golden file. */
  void assertMatchesGoldenFile() {
    String actual = text.toString();
    for (String[] r : REPLACEMENTS) {
      actual = actual.replaceAll(r[0], r[1]);
    }
    Path golden = Path.of("src", "test", "resources", "sessions", name + ".txt");
    try {
      if (Boolean.getBoolean("golden.update")) {
        Files.createDirectories(golden.getParent());
        Files.writeString(golden, actual);
      }
      assertThat(actual).isEqualTo(Files.readString(golden));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
