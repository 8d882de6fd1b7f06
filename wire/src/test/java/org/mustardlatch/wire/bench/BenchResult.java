package org.mustardlatch.wire.bench;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measurements of one fleet size; rates are per node.
 *
 * @param steady rates without requests and configuration changes
 * @param loaded rates while each node sends reservation requests to others
 * @param changing rates with a configuration change every three seconds
 * @param activationMillis time from publication until the revision is active, over all nodes and
 *     changes, ms
 * @param detectionMillis time from a kill until a node removed the killed node, over all nodes and
 *     kills, ms
 */
record BenchResult(
    int nodes,
    double joinSeconds,
    Phase steady,
    Phase loaded,
    Phase changing,
    Histogram activationMillis,
    Histogram detectionMillis,
    Map<String, Long> refusalsAndDrops,
    long suspicionCount,
    long errorCount) {

  /**
   * Rates of one phase, per node.
   *
   * @param coreShare processor time of the process as a fraction of a core, divided by the number
   *     of nodes
   */
  record Phase(
      double coreShare,
      double bytesSent,
      double bytesReceived,
      double framesSent,
      double heapBytes,
      double directBytes,
      double connections) {
    Map<String, Double> toMap() {
      Map<String, Double> all = new LinkedHashMap<>();
      all.put("core_share", coreShare);
      all.put("bytes_sent_per_s", bytesSent);
      all.put("bytes_received_per_s", bytesReceived);
      all.put("messages_sent_per_s", framesSent);
      all.put("heap_bytes", heapBytes);
      all.put("direct_bytes", directBytes);
      all.put("connections", connections);
      return all;
    }

    String row(int nodes, String name) {
      return String.format(
          Locale.ROOT,
          "%5d %-8s %8.3f%% %9.0f %9.0f %8.1f %9.2f %9.2f %7.1f",
          nodes,
          name,
          coreShare * 100,
          bytesSent,
          bytesReceived,
          framesSent,
          heapBytes / 1e6,
          directBytes / 1e6,
          connections);
    }
  }

  static String header() {
    return "nodes phase        core   sent B/s  recv B/s   msg/s   heap MB direct MB   conns";
  }

  String rows() {
    return steady.row(nodes, "steady")
        + "\n"
        + loaded.row(nodes, "requests")
        + "\n"
        + changing.row(nodes, "changes")
        + String.format(
            Locale.ROOT,
            "%n      join %.1f s, in force p50 %d p99 %d max %d ms,"
                + " detection p50 %d p99 %d max %d ms, suspicions %d, errors %d, refused %s",
            joinSeconds,
            activationMillis.getValueAtPercentile(50),
            activationMillis.getValueAtPercentile(99),
            activationMillis.getMaxValue(),
            detectionMillis.getValueAtPercentile(50),
            detectionMillis.getValueAtPercentile(99),
            detectionMillis.getMaxValue(),
            suspicionCount,
            errorCount,
            refusalsAndDrops);
  }

  Map<String, Object> toMap() {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("nodes", nodes);
    all.put("join_s", joinSeconds);
    all.put("steady", steady.toMap());
    all.put("requests", loaded.toMap());
    all.put("changing", changing.toMap());
    all.put("in_force_ms", percentiles(activationMillis));
    all.put("detection_ms", percentiles(detectionMillis));
    all.put("suspicions", suspicionCount);
    all.put("errors", errorCount);
    all.put("refusals", refusalsAndDrops);
    return all;
  }

  private static Map<String, Long> percentiles(Histogram h) {
    Map<String, Long> all = new LinkedHashMap<>();
    all.put("count", h.getTotalCount());
    all.put("p50", h.getValueAtPercentile(50));
    all.put("p99", h.getValueAtPercentile(99));
    all.put("max", h.getMaxValue());
    return all;
  }
}
