package org.mustardlatch.wire;

import com.google.common.util.concurrent.AtomicLongMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of a transport since its start. Thread-safe. */
public final class TransportCounters {
  final LongAdder framesSent = new LongAdder();
  final LongAdder framesReceived = new LongAdder();
  final LongAdder bytesSent = new LongAdder();
  final LongAdder bytesReceived = new LongAdder();

  /** Messages dropped because the queue of their peer was full. */
  final LongAdder queueDrops = new LongAdder();

  /** Messages dropped because they were queued for too long. */
  final LongAdder queueExpired = new LongAdder();

  /** Attempts to open a connection, including those that failed. */
  final LongAdder connectionsOpened = new LongAdder();

  final LongAdder connectionsAccepted = new LongAdder();
  final LongAdder connectFailures = new LongAdder();
  final LongAdder silentClosed = new LongAdder();
  final LongAdder unusedClosed = new LongAdder();
  private final AtomicLongMap<FrameRefusal> refusalCount = AtomicLongMap.create();

  TransportCounters() {}

  void countRefusal(FrameRefusal reason) {
    refusalCount.incrementAndGet(reason);
  }

  /** Returns the number of frames and connections refused for this reason. */
  public long refusalCount(FrameRefusal reason) {
    return refusalCount.get(reason);
  }

  /** Returns all counters by name. Byte counts include TLS but not TCP/IP headers. */
  public Map<String, Long> snapshot() {
    Map<String, Long> all = new LinkedHashMap<>();
    all.put("frames_sent", framesSent.sum());
    all.put("frames_received", framesReceived.sum());
    all.put("bytes_sent", bytesSent.sum());
    all.put("bytes_received", bytesReceived.sum());
    all.put("queue_drops", queueDrops.sum());
    all.put("queue_expired", queueExpired.sum());
    all.put("connections_opened", connectionsOpened.sum());
    all.put("connections_accepted", connectionsAccepted.sum());
    all.put("connect_failures", connectFailures.sum());
    all.put("silent_closed", silentClosed.sum());
    all.put("unused_closed", unusedClosed.sum());
    for (FrameRefusal reason : FrameRefusal.values()) {
      all.put("refused_" + reason.label(), refusalCount(reason));
    }
    return all;
  }
}
