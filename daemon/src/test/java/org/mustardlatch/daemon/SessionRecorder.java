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
 * Records the calls and answers of a session as text and compares them with a golden file. What
 * differs between runs (ids, times, ports, spread waiting times) is replaced by its kind. The
 * system property {@code golden.update} writes the files anew; read their difference before a
 * commit.
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

  /** Records something that is done to the fleet, for example a fault. */
  void step(String what) {
    text.append("== ").append(what).append("\n");
  }

  /** Sends a call with the demo key and records it with its answer. */
  TestHttpClient.Response call(int port, String method, String path, String body, String... headers) {
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
    TestHttpClient.Response answer = TestHttpClient.send(request.build());
    text.append("< ").append(answer.status()).append('\n');
    for (String header : List.of("content-type", "retry-after")) {
      if (!answer.header(header).isEmpty()) {
        text.append(header).append(": ").append(answer.header(header)).append('\n');
      }
    }
    text.append(answer.body().strip()).append('\n');
    return answer;
  }

  private static String abbreviate(String body) {
    return body.length() <= 400 ? body : body.substring(0, 40) + "... " + body.length() + " bytes";
  }

  /** Compares the session with its golden file. */
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
