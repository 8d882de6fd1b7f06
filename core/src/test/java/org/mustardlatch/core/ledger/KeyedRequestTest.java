package org.mustardlatch.core.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a repeat that gets another answer than the request, whose record is not stored.
 */
class KeyedRequestTest {
  private static final long DEADLINE_NANOS = 10_000_000_000L;

  private final List<KeyedRequestCommand> commands = new ArrayList<>();
  private final KeyedRequest request =
      new KeyedRequest(
          new Attempt(new LedgerKey("0".repeat(32)), "digest", "0".repeat(32), "host", 1),
          DEADLINE_NANOS,
          KeyedRequestTimeouts.DEFAULT);

  @BeforeEach
  void loseTheResponse() {
    handle(new KeyedRequestEvent.Accepted(false));
    handle(
        new KeyedRequestEvent.StartResponseReceived(
            ResponseSource.LOCAL, new StartResult.Started()));
    handle(new KeyedRequestEvent.DispatchEnded(new DispatchOutcome.Unknown()));
  }

  private void handle(KeyedRequestEvent event) {
    request.handle(event, 0, commands::add);
  }

  private List<KeyedResponse> responses() {
    return commands.stream()
        .filter(KeyedRequestCommand.Respond.class::isInstance)
        .map(c -> ((KeyedRequestCommand.Respond) c).response())
        .toList();
  }

  @Test
  void unknownOutcomeIsRecordedBeforeTheCallerHearsOfIt() {
    assertThat(responses()).isEmpty();
    handle(new KeyedRequestEvent.FinishResponseReceived(true));
    assertThat(responses()).containsExactly(new KeyedResponse.OutcomeUnknown());
  }

  @Test
  void callerHearsOfAnUnknownOutcomeThatCannotBeRecordedInTime() {
    handle(new KeyedRequestEvent.TimerFired(KeyedRequestTimer.FINISH_TIMEOUT));
    assertThat(responses()).containsExactly(new KeyedResponse.OutcomeUnknown());
  }
}
