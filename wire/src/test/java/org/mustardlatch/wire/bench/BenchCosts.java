package org.mustardlatch.wire.bench;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.mustardlatch.core.manifest.ManifestParser;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.peer.AdmissionMessage.ReservationRenew;
import org.mustardlatch.core.peer.AdmissionMessage.Reserve;
import org.mustardlatch.core.peer.AdmissionMessage.Stage;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLease;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLeaseRequest;
import org.mustardlatch.core.peer.EvidenceMessage.CrashReport;
import org.mustardlatch.core.peer.LedgerMessage.LedgerStart;
import org.mustardlatch.core.peer.MembershipMessage.Heartbeat;
import org.mustardlatch.core.peer.MembershipMessage.Rumor;
import org.mustardlatch.core.peer.MembershipMessage.State;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.peer.RolloutMessage.ConfigBody;
import org.mustardlatch.core.peer.RolloutMessage.ConfigOffer;
import org.mustardlatch.wire.PeerCodec;
import org.mustardlatch.wire.generated.PeerProto.Envelope;

/**
 * Prints the sizes of typical messages on the socket, computed without opening one, and the size,
 * compression and parse costs of manifests.
 */
public final class BenchCosts {
  /** Length prefix (4 bytes), and header, content type and tag of a TLS 1.3 record (22 bytes). */
  private static final int FRAMING_BYTES = 4 + 22;

  private static final int ROUNDS = 12;

  private BenchCosts() {}

  /** Runs the program. */
  public static void main(String[] arguments) {
    Reserve reserve = BenchMessages.reserve(123_456_789L);
    Fingerprint fingerprint = reserve.fingerprint();
    Rumor rumor =
        new Rumor(
            new HostId("oslo-a-router-117"),
            new RegionId("oslo"),
            new ZoneId("oslo-a"),
            "10.20.30.117:7100",
            1_764_000_000_000L,
            3,
            State.SUSPECT);
    UpstreamId engine = new UpstreamId("oslo-a-srv-118-acc-6");
    for (PeerMessage m :
        List.of(
            new Heartbeat(100_000, 1_000, List.of()),
            new Heartbeat(100_000, 1_000, List.of(rumor)),
            reserve,
            BenchMessages.granted(reserve),
            new ReservationRenew(reserve.attempt(), reserve.cell(), engine, Stage.DECODE, 200),
            BenchMessages.release(BenchMessages.granted(reserve)),
            new BudgetLeaseRequest("workspace/workspace-217", 2.5),
            new BudgetLease("workspace/workspace-217", 2.5, 1_000_000_000L),
            new CrashReport(
                engine, "oslo-a-router-117/1764000000000/12", List.of(fingerprint, fingerprint)),
            new LedgerStart(217, "0".repeat(32), "n".repeat(48), "d".repeat(64)),
            new ConfigOffer(1_000, fingerprint.value()))) {
      System.out.printf(
          Locale.ROOT, "%-22s %6d bytes%n", m.getClass().getSimpleName(), socketBytes(m));
    }
    for (int engines : new int[] {13, 600, 4_800}) {
      measureManifest(engines);
    }
  }

  private static int socketBytes(PeerMessage message) {
    Envelope.Builder b =
        Envelope.newBuilder()
            .setHost("oslo-a-router-117")
            .setIncarnation(1_764_000_000_000L)
            .setSequence(1_000_000);
    PeerCodec.encode(message, b);
    return b.build().getSerializedSize() + FRAMING_BYTES;
  }

  /**
   * Measures a manifest. The first half of the parse rounds is warm-up and does not count. The
   * compression time includes generating the text.
   */
  private static void measureManifest(int engines) {
    String text = ManifestGenerator.text(engines, 1);
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long cpu = 0;
    long allocated = 0;
    int findings = 0;
    for (int i = 0; i < ROUNDS; i++) {
      long cpuBefore = threads.getCurrentThreadCpuTime();
      long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
      findings = ManifestParser.parse("m.toml", text).findings().size();
      if (i >= ROUNDS / 2) {
        cpu += threads.getCurrentThreadCpuTime() - cpuBefore;
        allocated += threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
      }
    }
    int measuredRounds = ROUNDS - ROUNDS / 2;
    long compressBefore = threads.getCurrentThreadCpuTime();
    for (int i = 0; i < ROUNDS; i++) {
      findings +=
          socketBytes(new ConfigBody(1_000, ManifestGenerator.text(engines, i + 2))) < 0 ? 1 : 0;
    }
    double compressMillis = (threads.getCurrentThreadCpuTime() - compressBefore) / 1e6 / ROUNDS;
    System.out.printf(
        Locale.ROOT,
        "manifest with %4d engines: %d bytes, %d on the socket, compress %.1f ms, parse %.1f ms,"
            + " %.1f MB allocated, %d findings%n",
        engines,
        text.getBytes(StandardCharsets.UTF_8).length,
        socketBytes(new ConfigBody(1_000, text)),
        compressMillis,
        cpu / 1e6 / measuredRounds,
        allocated / 1e6 / measuredRounds,
        findings);
  }
}
