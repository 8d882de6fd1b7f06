package org.mustardlatch.gateway.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Guards against events without a catalogue entry, and catalogue entries without an event. */
class EventCatalogueTest {
  private static final Pattern CATALOGUE_ROW =
      Pattern.compile("\\| (\\d{4}) \\| ([A-Z_]+) \\| .+ \\| .+ \\|");

  @Test
  void catalogueListsExactlyTheEventsOfTheCode() throws IOException {
    List<String> listed =
        Files.readAllLines(Path.of("..", "docs", "EVENTS.md")).stream()
            .map(CATALOGUE_ROW::matcher)
            .filter(m -> m.matches())
            .map(m -> m.group(1) + " " + m.group(2))
            .toList();
    List<String> inCode =
        Arrays.stream(LogEvent.values()).map(e -> e.number() + " " + e.name()).toList();
    assertThat(listed).containsExactlyElementsIn(inCode);
  }

  @Test
  void numbersAreUnique() {
    assertThat(Arrays.stream(LogEvent.values()).map(LogEvent::number).toList())
        .containsNoDuplicates();
  }
}
