package org.mustardlatch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.UUID;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/**
 * Measures the time to the first token and between tokens, through a router and directly from the
 * stand-in engines in turn, and the processor time that the router took.
 */
public final class OverheadBench {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int WARM_UP = 100;
  private static final int STATUS_REFUSED = 503;

  /** Not a valid host name, because daemons cancel the work of hosts that are not alive. */
  private static final String OWNER = "(bench)/1";

  private static final long MAX_MICROS = 60_000_000;

  private final Arguments arguments;
  private final OkHttpClient http =
      new OkHttpClient.Builder().readTimeout(Duration.ofSeconds(30)).build();
  private final Series direct = new Series();
  private final Series routed = new Series();

  private OverheadBench(Arguments arguments) {
    this.arguments = arguments;
  }

  private void run() throws IOException {
    for (int i = 0; i < WARM_UP; i++) {
      direct("warm up " + i, new Series());
      routed("warm up " + i, new Series());
    }
    Duration before = daemonTime();
    for (int i = 0; i < arguments.requests; i++) {
      direct("request " + i, direct);
      routed("request " + i, routed);
    }
    report(daemonTime().minus(before));
  }

  private void routed(String prompt, Series series) throws IOException {
    long start = System.nanoTime();
    ObjectNode body = body(prompt, arguments.tokens).put("model", "wording").put("stream", true);
    Request request =
        new Request.Builder()
            .url(arguments.router + "/v1/completions")
            .header("Authorization", "Bearer demo-key")
            .post(RequestBody.create(body.toString(), JSON))
            .build();
    read(request, prompt, start, series);
  }

  private void direct(String prompt, Series series) throws IOException {
    long start = System.nanoTime();
    String attempt = UUID.randomUUID().toString();
    ObjectNode prefill = body(prompt, 1);
    prefill.putObject("kv_transfer_params").put("do_remote_decode", true);
    ObjectNode transfer;
    try (Response response = http.newCall(engine(arguments.prefill, attempt, prefill)).execute()) {
      transfer = (ObjectNode) Json.read(response.body().string()).path("kv_transfer_params");
    }
    URI source = URI.create(arguments.prefill);
    transfer.put("do_remote_prefill", true);
    transfer.put("remote_host", source.getHost()).put("remote_port", source.getPort());
    ObjectNode decode = body(prompt, arguments.tokens).put("stream", true);
    decode.set("kv_transfer_params", transfer);
    read(engine(arguments.decode, attempt, decode), prompt, start, series);
  }

  private void read(Request request, String prompt, long start, Series series) throws IOException {
    StringBuilder answer = new StringBuilder();
    try (Response response = http.newCall(request).execute()) {
      if (response.code() == STATUS_REFUSED) {
        series.refused++;
        return;
      }
      long last = start;
      for (String line; (line = response.body().source().readUtf8Line()) != null; ) {
        if (!line.startsWith("data: {")) {
          continue;
        }
        long now = System.nanoTime();
        (answer.isEmpty() ? series.firstToken : series.gap).recordValue((now - last) / 1_000);
        last = now;
        JsonNode event = Json.read(line.substring("data: ".length()));
        answer.append(event.path("choices").path(0).path("text").asText());
      }
    }
    if (!answer.toString().equals(TokenText.answer(prompt, arguments.tokens))) {
      throw new IOException("wrong answer to \"" + prompt + "\": " + answer);
    }
  }

  private void report(Duration daemonTime) {
    System.out.println("| measure | direct p50 | direct p99 | routed p50 | routed p99 | unit |");
    System.out.println("|---|---|---|---|---|---|");
    row("time to first token", direct.firstToken, routed.firstToken);
    row("time between tokens", direct.gap, routed.gap);
    ObjectNode result = Json.object();
    result.put("requests", arguments.requests).put("tokens_per_request", arguments.tokens);
    put(result.putObject("direct"), direct);
    put(result.putObject("routed"), routed);
    result.put("daemon_cpu_us_per_request", daemonTime.toNanos() / 1_000 / arguments.requests);
    System.out.println(result.toPrettyString());
  }

  private static void row(String name, Histogram direct, Histogram routed) {
    System.out.printf(
        "| %s | %d | %d | %d | %d | µs |%n",
        name,
        direct.getValueAtPercentile(50),
        direct.getValueAtPercentile(99),
        routed.getValueAtPercentile(50),
        routed.getValueAtPercentile(99));
  }

  private static void put(ObjectNode node, Series series) {
    node.put("first_token_p50_us", series.firstToken.getValueAtPercentile(50));
    node.put("first_token_p99_us", series.firstToken.getValueAtPercentile(99));
    node.put("gap_p50_us", series.gap.getValueAtPercentile(50));
    node.put("gap_p99_us", series.gap.getValueAtPercentile(99));
    node.put("refused", series.refused);
  }

  private Duration daemonTime() {
    return ProcessHandle.of(arguments.daemonPid)
        .flatMap(handle -> handle.info().totalCpuDuration())
        .orElse(Duration.ZERO);
  }

  private static ObjectNode body(String prompt, int tokens) {
    return Json.object().put("prompt", prompt).put("max_tokens", tokens);
  }

  private static Request engine(String url, String attempt, ObjectNode body) {
    return new Request.Builder()
        .url(url + "/v1/completions")
        .header("X-Request-Id", attempt)
        .header("X-Router-Incarnation", OWNER)
        .post(RequestBody.create(body.toString(), JSON))
        .build();
  }

  /** Runs the measurement; exits with 2 on wrong arguments. */
  public static void main(String[] args) throws IOException {
    Arguments arguments = new Arguments();
    StandinMain.parse(arguments, args);
    new OverheadBench(arguments).run();
    System.exit(0);
  }

  private static final class Series {
    private final Histogram firstToken = new Histogram(MAX_MICROS, 3);
    private final Histogram gap = new Histogram(MAX_MICROS, 3);
    private int refused;
  }

  private static final class Arguments {
    @Option(name = "--router", required = true, usage = "base URL of the router")
    private String router = "";

    @Option(name = "--prefill", required = true, usage = "base URL of the prefill engine")
    private String prefill = "";

    @Option(name = "--decode", required = true, usage = "base URL of a decode engine")
    private String decode = "";

    @Option(name = "--daemon-pid", usage = "process id of the router, for its processor time")
    private long daemonPid;

    @Option(name = "--requests", usage = "requests of each kind")
    private int requests = 300;

    @Option(name = "--tokens", usage = "tokens of an answer")
    private int tokens = 20;
  }
}
