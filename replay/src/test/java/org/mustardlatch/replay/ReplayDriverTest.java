package org.mustardlatch.replay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardlatch.core.error.ErrorCode;

class ReplayDriverTest {
  private static ReplayReport run(User user, String policy, List<TraceLine> trace) {
    return ReplayDriver.run(user.deployment(user.objective()), Policies.named(policy), trace, 1);
  }

  private static ReplayReport run(User user, String policy, TraceKind kind) {
    return run(user, policy, TraceGenerator.generate(user, kind, 1));
  }

  private static String resource(String name) throws IOException {
    try (InputStream in = ReplayDriverTest.class.getResourceAsStream("/" + name)) {
      return new String(Objects.requireNonNull(in, name).readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** Guards against hash order or clock values that leak into decisions or reports. */
  @Test
  void equalRunsGiveEqualBytes() {
    for (String policy : Policies.NAMES) {
      String first =
          ReportWriter.json(run(User.TINTA, policy, TraceKind.ZONE_LOST).withoutTiming());
      String again =
          ReportWriter.json(run(User.TINTA, policy, TraceKind.ZONE_LOST).withoutTiming());
      assertThat(again).isEqualTo(first);
    }
  }

  /**
   * Copies the actual report to {@code target/golden}, from where a wanted change is taken over.
   */
  @ParameterizedTest
  @CsvSource({"vevstua-burst,VEVSTUA,two-choice", "tinta-faults,TINTA,least-reported-load"})
  void smallReplaysMatchTheirGoldenFiles(String name, User user, String policy) throws IOException {
    String text = resource(name + ".jsonl");
    List<TraceLine> trace = TraceParser.parse(name, text).orThrow(ErrorCode.INTERNAL);
    String actual = ReportWriter.json(run(user, policy, trace).withoutTiming());
    Path copy = Path.of("target", "golden", name + ".json");
    Files.createDirectories(copy.getParent());
    Files.writeString(copy, actual);
    assertThat(actual).isEqualTo(resource(name + ".json"));
  }

  /** Guards against requests that a policy or a fake forgets. */
  @ParameterizedTest
  @EnumSource
  void everyRequestGetsExactlyOneFinalAnswer(FaultKind kind) {
    User user = User.TINTA;
    String target =
        switch (kind) {
          case STRAGGLER, UPSTREAM_DEATH -> "heredia-decode-0";
          case LINK_CUT, LINK_SLOWDOWN -> "valle-central";
          case ZONE_LOST -> "liberia";
          case REGION_SPLIT -> Network.CROSS;
          case NODE_DEATH -> "cartago-node-1";
        };
    List<TraceLine> trace =
        new ArrayList<>(TraceGenerator.generate(user, TraceKind.STEADY, 1).subList(0, 300));
    trace.add(new TraceLine.Fault(8000, kind, target, 3, 4000));
    for (String policy : Policies.NAMES) {
      ReplayReport report = run(user, policy, trace);
      assertThat(report.missing()).isEqualTo(0);
      assertThat(report.goodShare()).isGreaterThan(0.3);
    }
  }

  @Test
  void callersComeBackAfterRefusalsAsOftenAsTheTraceSays() {
    ReplayReport report = run(User.VEVSTUA, "two-choice", TraceKind.SWING);
    assertThat(report.tries()).isGreaterThan(report.calls());
    assertThat(report.tries()).isAtMost(3 * report.calls());
  }
}
