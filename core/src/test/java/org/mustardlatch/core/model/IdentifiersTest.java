package org.mustardlatch.core.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against names of an operator for which no identifier can be made, or a shared one. */
class IdentifiersTest {
  private static final String LONG = "a".repeat(63);

  @ParameterizedTest
  @ValueSource(strings = {"core-llm", "7", "i-02d9e6b0", "a.b_c-d"})
  void validNameIsItsOwnIdentifier(String name) {
    assertThat(Identifiers.of(name)).isEqualTo(name);
    assertThat(Identifiers.of(LONG)).isEqualTo(LONG);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"språk-llm", "Core-LLM", "-a", "a b", "", "日本", "a\nb", "a/b", "sha256-a"})
  void otherNameHasAValidIdentifier(String name) {
    String identifier = Identifiers.of(name);

    assertThat(identifier).isNotEqualTo(name);
    assertThat(new ModelId(identifier).value()).isEqualTo(identifier);
    assertThat(new UpstreamId(Identifiers.of(LONG + "b" + name)).value()).isNotEqualTo(identifier);
  }

  @Test
  void differentNamesHaveDifferentIdentifiers() {
    Set<String> names = new HashSet<>();
    // Halves of surrogate pairs have no UTF-8 form.
    for (String s :
        List.of("core", "Core", "CORE", "cöre", "core ", "co\u0308re", "\uD800", "\uD801", "?")) {
      names.add(s);
      names.add(Identifiers.of(s));
      names.add(LONG + s);
    }

    Set<String> identifiers = new HashSet<>();
    names.forEach(n -> identifiers.add(Identifiers.of(n)));
    assertThat(identifiers).hasSize(names.size());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "A", "-a", "ø", "a b"})
  void invalidNameIsRejected(String name) {
    assertThrows(IllegalArgumentException.class, () -> new ZoneId(name));
    assertThrows(IllegalArgumentException.class, () -> new ZoneId(LONG + "a" + name));
  }
}
