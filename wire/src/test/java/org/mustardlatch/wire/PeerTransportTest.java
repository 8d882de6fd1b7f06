package org.mustardlatch.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.peer.RolloutMessage.ConfigBody;
import org.mustardlatch.core.peer.RolloutMessage.ConfigFetch;
import org.mustardlatch.wire.generated.PeerProto.Envelope;

/** Tests refusal of untrusted peers and invalid frames, reconnection and queue limits. */
class PeerTransportTest {
  private static final HostId A = new HostId("a");
  private static final HostId B = new HostId("b");

  private record Inbound(HostId from, long incarnation, PeerMessage message) {}

  private final BlockingQueue<Inbound> inbox = new LinkedBlockingQueue<>();
  private final List<Throwable> unexpectedErrors = new ArrayList<>();
  private final List<PeerTransport> startedTransports = new ArrayList<>();
  @TempDir Path directory;

  @AfterEach
  void stopAll() {
    startedTransports.forEach(PeerTransport::stop);
    assertThat(unexpectedErrors).isEmpty();
  }

  private PeerTransport transport(HostId host, @Nullable TlsFiles tls, int port) {
    return new PeerTransport(
        new PeerTransportOptions(host, () -> 7, loopback(port), tls, null),
        (from, incarnation, message) -> inbox.add(new Inbound(from, incarnation, message)),
        unexpectedErrors::add);
  }

  private InetSocketAddress start(PeerTransport t) {
    startedTransports.add(t);
    return t.start();
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private Inbound nextMessage() throws InterruptedException {
    Inbound next = inbox.poll(20, TimeUnit.SECONDS);
    assertThat(next).isNotNull();
    return next;
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    CountDownLatch neverReleased = new CountDownLatch(1);
    for (int i = 0; i < 2_000 && !condition.getAsBoolean(); i++) {
      assertThat(neverReleased.await(10, TimeUnit.MILLISECONDS)).isFalse();
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private static byte[] frame(String host, long sequence) {
    Envelope.Builder b =
        Envelope.newBuilder().setHost(host).setIncarnation(1).setSequence(sequence);
    PeerCodec.encode(new ConfigFetch(sequence), b);
    return b.build().toByteArray();
  }

  @Test
  void responsesUseTheConnectionOfTheRequest() throws Exception {
    PeerTransport a = transport(A, null, 0);
    PeerTransport b = transport(B, null, 0);
    start(a);
    InetSocketAddress addressOfB = start(b);
    a.send(B, hostAndPort(addressOfB), new ConfigFetch(1));
    assertThat(nextMessage()).isEqualTo(new Inbound(A, 7, new ConfigFetch(1)));
    b.send(A, null, new ConfigBody(1, "x".repeat(1_000_000)));
    assertThat(nextMessage().message()).isEqualTo(new ConfigBody(1, "x".repeat(1_000_000)));
    assertThat(b.counters().snapshot()).containsEntry("connections_opened", 0L);
  }

  @Test
  void connectionsWithoutTlsAreRestrictedToLoopback() {
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new PeerTransportOptions(A, () -> 1, new InetSocketAddress("0.0.0.0", 0), null, null));
  }

  @Test
  void peersWithCertificatesOfTheSameAuthorityExchangeMessages() throws Exception {
    TestCertificates ca = new TestCertificates(directory, "fleet");
    start(transport(A, ca.issue("a"), 0));
    InetSocketAddress addressOfB = start(transport(B, ca.issue("b"), 0));
    startedTransports.get(0).sendToAddress(hostAndPort(addressOfB), new ConfigFetch(1));
    assertThat(nextMessage().from()).isEqualTo(A);
    startedTransports.get(1).send(A, null, new ConfigFetch(2));
    assertThat(nextMessage().from()).isEqualTo(B);
  }

  @Test
  void aCertificateOfAnotherAuthorityIsRefusedAndCounted() throws Exception {
    TestCertificates ca = new TestCertificates(directory, "fleet");
    PeerTransport b = transport(B, ca.issue("b"), 0);
    InetSocketAddress addressOfB = start(b);
    TlsFiles untrusted = new TestCertificates(directory, "stranger").issue("a");
    TlsFiles untrustedTls =
        new TlsFiles(untrusted.certificate(), untrusted.key(), ca.issue("c").ca());
    PeerTransport a = transport(A, untrustedTls, 0);
    start(a);
    a.send(B, hostAndPort(addressOfB), new ConfigFetch(1));
    await(() -> b.counters().refusalCount(FrameRefusal.STRANGER) > 0);
    assertThat(inbox).isEmpty();
  }

  @Test
  void aHostNotNamedInItsCertificateIsRefused() throws Exception {
    TestCertificates ca = new TestCertificates(directory, "fleet");
    PeerTransport b = transport(B, ca.issue("b"), 0);
    InetSocketAddress addressOfB = start(b);
    PeerTransport a = transport(A, ca.issue("other"), 0);
    start(a);
    a.send(B, hostAndPort(addressOfB), new ConfigFetch(1));
    await(() -> b.counters().refusalCount(FrameRefusal.HOST_MISMATCH) > 0);
    assertThat(inbox).isEmpty();
  }

  @Test
  void aServerThatIsNotTheExpectedHostReceivesNoMessage() throws Exception {
    TestCertificates ca = new TestCertificates(directory, "fleet");
    InetSocketAddress addressOfB = start(transport(B, ca.issue("b"), 0));
    PeerTransport a = transport(A, ca.issue("a"), 0);
    start(a);
    a.send(new HostId("c"), hostAndPort(addressOfB), new ConfigFetch(1));
    await(() -> a.counters().refusalCount(FrameRefusal.HOST_MISMATCH) > 0);
    assertThat(inbox).isEmpty();
  }

  @Test
  void invalidFramesAreRefusedByReasonAndLaterConnectionsWork() throws Exception {
    PeerTransport b = transport(B, null, 0);
    InetSocketAddress addressOfB = start(b);
    try (Socket s = connect(addressOfB)) {
      DataOutputStream out = new DataOutputStream(s.getOutputStream());
      write(out, frame("a", 1));
      write(out, frame("a", 1));
      assertThat(s.getInputStream().read()).isEqualTo(-1);
    }
    await(() -> b.counters().refusalCount(FrameRefusal.REPLAYED) == 1);
    try (Socket s = connect(addressOfB)) {
      byte[] complete = frame("a", 1);
      DataOutputStream out = new DataOutputStream(s.getOutputStream());
      out.writeInt(complete.length);
      out.write(complete, 0, complete.length - 1);
    }
    await(() -> b.counters().refusalCount(FrameRefusal.TRUNCATED) == 1);
    try (Socket s = connect(addressOfB)) {
      new DataOutputStream(s.getOutputStream()).writeInt(TransportLimits.MAX_FRAME_BYTES + 1);
      assertThat(s.getInputStream().read()).isEqualTo(-1);
    }
    await(() -> b.counters().refusalCount(FrameRefusal.OVERSIZED) == 1);
    try (Socket s = connect(addressOfB)) {
      write(new DataOutputStream(s.getOutputStream()), new byte[] {1, 2, 3});
      assertThat(s.getInputStream().read()).isEqualTo(-1);
    }
    await(() -> b.counters().refusalCount(FrameRefusal.MALFORMED) == 1);
    try (Socket s = connect(addressOfB)) {
      write(new DataOutputStream(s.getOutputStream()), frame("b", 1));
      assertThat(s.getInputStream().read()).isEqualTo(-1);
    }
    await(() -> b.counters().refusalCount(FrameRefusal.OWN_HOST) == 1);
    assertThat(nextMessage().message()).isEqualTo(new ConfigFetch(1));
    assertThat(inbox).isEmpty();
    PeerTransport a = transport(A, null, 0);
    start(a);
    a.send(B, hostAndPort(addressOfB), new ConfigFetch(5));
    assertThat(nextMessage().message()).isEqualTo(new ConfigFetch(5));
  }

  private static Socket connect(InetSocketAddress to) throws IOException {
    Socket s = new Socket(to.getAddress(), to.getPort());
    s.setSoTimeout(20_000);
    return s;
  }

  private static void write(DataOutputStream out, byte[] frame) throws IOException {
    out.writeInt(frame.length);
    out.write(frame);
    out.flush();
  }

  @Test
  void messagesArriveAgainAfterThePeerRestarts() throws Exception {
    PeerTransport a = transport(A, null, 0);
    start(a);
    PeerTransport b = transport(B, null, 0);
    InetSocketAddress addressOfB = start(b);
    a.send(B, hostAndPort(addressOfB), new ConfigFetch(1));
    assertThat(nextMessage().message()).isEqualTo(new ConfigFetch(1));
    b.stop();
    start(transport(B, null, addressOfB.getPort()));
    PeerMessage second = new ConfigFetch(2);
    await(
        () -> {
          a.send(B, hostAndPort(addressOfB), second);
          return inbox.stream().anyMatch(i -> i.message().equals(second));
        });
  }

  /**
   * Guards against use of a dead connection until the TCP timeout: a connection to a peer that
   * accepts connections but never sends a frame must be replaced by a new one.
   */
  @Test
  void aSilentConnectionIsReplaced() throws Exception {
    PeerTransport a = transport(A, null, 0);
    start(a);
    try (ServerSocket silentServer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      silentServer.setSoTimeout(20_000);
      a.send(B, hostAndPort(loopback(silentServer.getLocalPort())), new ConfigFetch(1));
      try (Socket first = silentServer.accept();
          Socket second = silentServer.accept()) {
        assertThat(first.isConnected()).isTrue();
        assertThat(second.isConnected()).isTrue();
      }
      assertThat(a.counters().snapshot()).containsEntry("silent_closed", 1L);
    }
  }

  @Test
  void aFullQueueDropsTheOldestMessagesAndCountsThem() throws Exception {
    PeerTransport a = transport(A, null, 0);
    start(a);
    int port;
    try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = unused.getLocalPort();
    }
    int messageCount = TransportLimits.MAX_QUEUED_MESSAGES + 10;
    for (int i = 1; i <= messageCount; i++) {
      a.send(B, hostAndPort(loopback(port)), new ConfigFetch(i));
    }
    assertThat(a.counters().snapshot()).containsEntry("queue_drops", 10L);
    start(transport(B, null, port));
    assertThat(nextMessage().message()).isEqualTo(new ConfigFetch(11));
  }
}
