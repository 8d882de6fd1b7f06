package org.mustardlatch.daemon.upstream;

import java.io.IOException;
import okio.Buffer;
import okio.ForwardingSource;
import okio.Source;

/** Limits the length of an event in a stream, which its reader holds in memory. */
final class EventSizeLimit extends ForwardingSource {
  static final int MAX_EVENT_BYTES = 1 << 20;

  private long bytesSinceEvent;

  EventSizeLimit(Source source) {
    super(source);
  }

  /** Records that the reader has passed on an event. */
  void eventReceived() {
    bytesSinceEvent = 0;
  }

  /**
   * Reads bytes.
   *
   * @throws IOException when reading fails or more than 1 MiB came since the last event
   */
  @Override
  public long read(Buffer sink, long byteCount) throws IOException {
    long read = super.read(sink, byteCount);
    bytesSinceEvent += Math.max(0, read);
    if (bytesSinceEvent > MAX_EVENT_BYTES) {
      throw new IOException("event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
    return read;
  }
}
