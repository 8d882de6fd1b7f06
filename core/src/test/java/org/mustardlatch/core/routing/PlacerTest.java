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

/**
 * Tests the choice of decode engines and their predicted capacity. Guards against decode engines
 * that stay idle because of one slow transfer, and against reported capacity that does not exist.
 */
class PlacerTest {
  private static final long NOW = 100 * SECOND;
  private static final long KV_BYTES = 100_000L * 3_000;
  private static final long TRANSFER_NANOS = 20 * MILLI;
  private static final long TOKEN_GAP_NANOS = 68 * MILLI;

  private final EngineState prefillEngine = engine("p0", UpstreamRole.PREFILL);
  private final EngineState firstDecode = engine("d0", UpstreamRole.DECODE);
  private final EngineState secondDecode = engine("d1", UpstreamRole.DECODE);
  private final KvTransferLimiter transferLimiter = new KvTransferLimiter();
  private final Placer placer =
      new Placer(
          new Cell(
              "label/oslo/0",
              Fixtures.manifest(Objective.CREST_AVERSE, List.of()).models().getFirst(),
              Fixtures.OSLO,
              Stream.of(prefillEngine, firstDecode, secondDecode).map(e -> e.upstream).toList()),
          List.of(prefillEngine, firstDecode, secondDecode),
          new UnavailableUpstreams(),
          new UpstreamLimits(new CommandCollector(Fixtures.host(0))));

  PlacerTest() {
    transferLimiter.recordTransfer(KV_BYTES, TRANSFER_NANOS, NOW - SECOND);
  }

  @Test
  void engineWithOneSlowTransferIsUsedWhenTheOthersAreFull() {
    firstDecode.transferSlowdown.observe(5 * TRANSFER_NANOS, TRANSFER_NANOS);
    firstDecode.reservedSlots = 3;
    assertThat(decodeEngineOf(placeRequest())).isSameInstanceAs(secondDecode);
    secondDecode.reservedSlots = secondDecode.upstream.slots();
    assertThat(decodeEngineOf(placeRequest())).isSameInstanceAs(firstDecode);
  }

  @Test
  void engineWithSlowTokensGetsNoFurtherStream() {
    firstDecode.tokenSlowdown.observe(4 * TOKEN_GAP_NANOS, TOKEN_GAP_NANOS);
    firstDecode.reservedSlots = 3;
    secondDecode.reservedSlots = secondDecode.upstream.slots();
    assertThat(placeRequest()).isNull();
  }

  @Test
  void engineWhoseTransfersMissTheDeadlineGetsNoFurtherRequest() {
    firstDecode.transferSlowdown.observe(19 * TRANSFER_NANOS, TRANSFER_NANOS);
    firstDecode.reservedSlots = 3;
    secondDecode.reservedSlots = secondDecode.upstream.slots();
    assertThat(placeRequest()).isNull();
  }

  @Test
  void capacityIsLimitedByMemoryWhenItRunsOutBeforeSlots() {
    assertThat(placer.totalDecodeCapacity(30, NOW)).isEqualTo(12);
    firstDecode.reservedSlots = 5;
    firstDecode.reservedPieces = 150;
    assertThat(placer.freeDecodeCapacity(30, NOW)).isEqualTo(7);
    assertThat(placer.freeDecodeCapacity(1, NOW)).isEqualTo(35);
  }

  @Test
  void engineThatRegistersNoSlotsHasNoCapacity() {
    EngineState none =
        new EngineState(Fixtures.engine("d2", UpstreamRole.DECODE, "oslo-a", 0), 1000);
    assertThat(none.totalCapacityFor(30)).isEqualTo(0);
    assertThat(none.freeCapacityFor(30)).isEqualTo(0);
  }

  private Placer.@Nullable Placement placeRequest() {
    ReservationRequest request =
        new ReservationRequest(
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
            List.of(),
            GenerationRequest.DEFAULT_RANK);
    return placer.place(request, false, transferLimiter, false, NOW);
  }

  private static @Nullable EngineState decodeEngineOf(Placer.@Nullable Placement placement) {
    return placement == null ? null : placement.decodeEngine();
  }

  private static EngineState engine(String name, UpstreamRole role) {
    return new EngineState(Fixtures.engine(name, role, "oslo-a", 20), 1000);
  }
}
