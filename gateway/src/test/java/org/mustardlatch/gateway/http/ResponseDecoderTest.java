package org.mustardlatch.gateway.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a head whose check depends on how its bytes arrive. */
class ResponseDecoderTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nName: value\r\n";
  private static final String END = "Content-Length: 2\r\n\r\nok";

  /** Decodes responses that arrive in parts of the given length; returns the last head. */
  private static @Nullable HttpResponse decode(String text, int partLength) {
    EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder());
    for (int i = 0; i < text.length(); i += partLength) {
      String part = text.substring(i, Math.min(text.length(), i + partLength));
      channel.writeInbound(Unpooled.copiedBuffer(part, ISO_8859_1));
    }
    HttpResponse head = null;
    for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
      if (message instanceof HttpResponse response) {
        head = response;
      }
      ReferenceCountUtil.release(message);
    }
    return head;
  }

  private static boolean rejects(String text, int partLength) {
    HttpResponse head = decode(text, partLength);
    return head == null || head.decoderResult().isFailure();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {" Folded: 1", "\tfolded", " ", "Na me: 1", "Name : 1", "Na\tme: 1", "Na\0me: 1"})
  void invalidLineIsRejectedHoweverItsBytesArrive(String line) {
    String text = HEAD + line + "\r\n" + END;
    for (int length = 1; length <= text.length(); length++) {
      assertThat(rejects(text, length)).isTrue();
    }
  }

  @Test
  void validHeadIsAcceptedHoweverItsBytesArrive() {
    String text = HEAD + "Empty:\r\nTwo:  words here \r\n" + END;
    for (int length = 1; length <= text.length(); length++) {
      assertThat(rejects(text, length)).isFalse();
    }
  }

  @Test
  void bodyThatLooksLikeAFoldedLineIsNoPartOfTheHead() {
    String body = "a\r\n b: c\r\n\t";
    String text = HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    for (int length = 1; length <= text.length(); length++) {
      assertThat(rejects(text, length)).isFalse();
    }
  }

  @Test
  void headAfterAnInterimOneIsCheckedByItself() {
    String interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (int length = 1; length <= interim.length(); length++) {
      assertThat(rejects(interim + HEAD + END, length)).isFalse();
      assertThat(rejects(interim + HEAD + " folded\r\n" + END, length)).isTrue();
    }
  }

  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 000 OK,invalid status",
    "HTTP/2.0 200 OK,invalid version",
    "HTTP/1.1 200 OK;Na me: 1,blank in the name of a header field",
    "HTTP/1.1 200 OK;A: 1; folded,folded header field",
    "HTTP/1.1 200 OK;Transfer-Encoding: gzip,unsupported transfer coding"
  })
  void failureSaysWhatIsInvalid(String lines, String message) {
    HttpResponse head =
        Objects.requireNonNull(decode(lines.replace(";", "\r\n") + "\r\n\r\n", 1_000));

    assertThat(head.decoderResult().cause()).hasMessageThat().isEqualTo(message);
  }
}
