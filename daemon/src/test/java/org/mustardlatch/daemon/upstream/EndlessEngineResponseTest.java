package org.mustardlatch.daemon.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import okio.BufferedSource;
import okio.Okio;
import okio.Source;
import okio.Timeout;
import org.junit.jupiter.api.Test;

/** Guards against an engine that fills the memory of the daemon with bytes without end. */
class EndlessEngineResponseTest {
  private static final int PART_BYTES = 8_192;

  /** A source that never ends. */
  private static final class EndlessSource implements Source {
    private long bytesRead;

    @Override
    public long read(Buffer sink, long byteCount) {
      sink.write(new byte[PART_BYTES]);
      bytesRead += PART_BYTES;
      return PART_BYTES;
    }

    @Override
    public Timeout timeout() {
      return Timeout.NONE;
    }

    @Override
    public void close() {}
  }

  private final EndlessSource endless = new EndlessSource();

  @Test
  void readsALimitedPartOfABodyWithoutEnd() {
    ResponseBody body =
        ResponseBody.create(Okio.buffer(endless), MediaType.get("application/json"), -1);
    Response response =
        new Response.Builder()
            .request(new Request.Builder().url("http://engine/").build())
            .protocol(Protocol.HTTP_1_1)
            .code(200)
            .message("OK")
            .body(body)
            .build();

    IOException e = assertThrows(IOException.class, () -> EngineJson.read(response));

    assertThat(e).hasMessageThat().contains("longer than");
    assertThat(endless.bytesRead).isLessThan(2L << 20);
  }

  @Test
  void stopsAStreamWhoseEventNeverEnds() {
    BufferedSource limited = Okio.buffer(new EventSizeLimit(endless));

    IOException e = assertThrows(IOException.class, limited::readUtf8Line);

    assertThat(e).hasMessageThat().contains("event is longer");
    assertThat(endless.bytesRead).isLessThan(2L << 20);
  }

  @Test
  void doesNotLimitAStreamOfManyEvents() throws IOException {
    EventSizeLimit limit = new EventSizeLimit(endless);
    Buffer sink = new Buffer();
    for (int i = 0; i < 4 * EventSizeLimit.MAX_EVENT_BYTES / PART_BYTES; i++) {
      limit.read(sink, PART_BYTES);
      limit.eventReceived();
    }
    assertThat(sink.size()).isEqualTo(4L * EventSizeLimit.MAX_EVENT_BYTES);
  }
}
