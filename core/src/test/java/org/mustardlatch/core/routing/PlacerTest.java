package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.mustardlatch.core.routing.Fixtures.MILLI;
import static org.mustardlatch.core.routing.Fixtures.SECOND;

import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.manifest.Objective;
import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.RequestId;

/** Guards against decode engines that stand idle, and against room that is not there. */
class PlacerTest {
  private static final long NOW = 100 * SECOND;
  private static final long KV_BYTES = 100_000L * 3_000;
  private static final long TRANSFER = 20 * MILLI;
  private static final long GAP = 68 * MILLI;

  private final EngineState prefill = engine("p0", UpstreamRole.PREFILL);
  private final EngineState first = engine("d0", UpstreamRole.DECODE);
  private final EngineState second = engine("d1", UpstreamRole.DECODE);
  private final LinkEstimate link = new LinkEstimate();
  private final Placer placer =
      new Placer(
          new Cell(
              "label/oslo/0",
              Fixtures.manifest(Objective.CREST_AVERSE, List.of()).models().getFirst(),
              Fixtures.OSLO,
              Stream.of(prefill, first, second).map(e -> e.upstream).toList()),
          List.of(prefill, first, second),
          new LeavingUpstreams());

  PlacerTest() {
    link.observe(KV_BYTES, TRANSFER, NOW - SECOND);
  }

  @Test
  void anEngineThatHadOneSlowTransferServesWhileTheOthersAreFull() {
    first.transferPace.observe(5 * TRANSFER, TRANSFER);
    first.heldSlots = 3;
    assertThat(decodeOf(placed())).isSameInstanceAs(second);
    second.heldSlots = second.upstream.slots();
    assertThat(decodeOf(placed())).isSameInstanceAs(first);
  }

  @Test
  void anEngineWhoseTokensComeLateGetsNoFurtherStream() {
    first.tokenPace.observe(4 * GAP, GAP);
    first.heldSlots = 3;
    second.heldSlots = second.upstream.slots();
    assertThat(placed()).isNull();
  }

  @Test
  void anEngineWhoseTransfersMissTheDeadlineGetsNoFurtherRequest() {
    first.transferPace.observe(19 * TRANSFER, TRANSFER);
    first.heldSlots = 3;
    second.heldSlots = second.upstream.slots();
    assertThat(placed()).isNull();
  }

  @Test
  void roomEndsWithTheMemoryWhereItEndsBeforeTheSlots() {
    assertThat(placer.usableDecodeSlots(30, NOW)).isEqualTo(12);
    first.heldSlots = 5;
    first.heldPieces = 150;
    assertThat(placer.freeDecodeSlots(30, NOW)).isEqualTo(7);
    assertThat(placer.freeDecodeSlots(1, NOW)).isEqualTo(35);
  }

  @Test
  void anEngineThatRegistersNoSlotsHasNoRoom() {
    EngineState none =
        new EngineState(Fixtures.engine("d2", UpstreamRole.DECODE, "oslo-a", 0), 1000);
    assertThat(none.capacityFor(30)).isEqualTo(0);
    assertThat(none.freeFor(30)).isEqualTo(0);
  }

  private Placer.@Nullable Placement placed() {
    Ask ask =
        new Ask(
            new AttemptId(new RequestId("r"), 1),
            Fixtures.host(1),
            Fixtures.WORKSPACE,
            3_000,
            100,
            List.of(),
            Fixtures.fingerprint(1),
            null,
            NOW + 900 * MILLI,
            900 * MILLI,
            List.of());
    return placer.place(ask, false, link, false, NOW);
  }

  private static @Nullable EngineState decodeOf(Placer.@Nullable Placement placement) {
    return placement == null ? null : placement.decode();
  }

  private static EngineState engine(String name, UpstreamRole role) {
    return new EngineState(Fixtures.engine(name, role, "oslo-a", 20), 1000);
  }
}
