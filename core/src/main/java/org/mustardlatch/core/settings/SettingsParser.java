package org.mustardlatch.core.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ParseResult;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.toml.TomlFindings;
import org.mustardlatch.core.toml.TomlSection;

/** Reads the settings file of a daemon; all faults are reported together. */
public final class SettingsParser {
  private static final long DEFAULT_DRAIN_DELAY_MILLIS = 3_000;
  private static final long MAX_DRAIN_DELAY_MILLIS = 600_000;

  private SettingsParser() {}

  /**
   * Reads settings.
   *
   * @param file name for findings
   * @param text TOML text
   * @return the settings, or every fault with its place
   */
  public static ParseResult<Settings> parse(String file, String text) {
    TomlFindings findings = new TomlFindings(file);
    TomlSection root = TomlSection.parse(text, findings);
    if (!findings.all().isEmpty()) {
      return ParseResult.invalid(findings.all());
    }
    Settings settings = readSettings(root);
    return settings != null && findings.all().isEmpty()
        ? ParseResult.valid(settings)
        : ParseResult.invalid(findings.all());
  }

  private static @Nullable Settings readSettings(TomlSection root) {
    TomlSection node = root.section("node");
    HostId host = node.required("host", HostId::new);
    RegionId region = node.required("region", RegionId::new);
    ZoneId zone = node.required("zone", ZoneId::new);
    SocketAddress callers = node.required("caller_address", SocketAddress::parse);
    SocketAddress operators = node.required("operator_address", SocketAddress::parse);
    SocketAddress peers = node.required("peer_address", SocketAddress::parse);
    Duration drainDelay =
        Duration.ofMillis(
            node.integer("drain_delay_ms", 0, MAX_DRAIN_DELAY_MILLIS, DEFAULT_DRAIN_DELAY_MILLIS));
    node.rejectUnknownKeys();
    TomlSection peerSection = root.section("peers");
    List<SocketAddress> seeds = peerSection.convertedStrings("seeds", SocketAddress::parse);
    peerSection.rejectUnknownKeys();
    TomlSection store = root.section("object_service");
    URI objectService = store.required("url", URI::create);
    store.rejectUnknownKeys();
    PeerSecurity security = readSecurity(root, peers);
    root.rejectUnknownKeys();
    if (host == null || region == null || zone == null || objectService == null) {
      return null;
    }
    if (callers == null || operators == null || peers == null || security == null) {
      return null;
    }
    return new Settings(
        host, region, zone, callers, operators, peers, drainDelay, seeds, objectService, security);
  }

  private static @Nullable PeerSecurity readSecurity(
      TomlSection root, @Nullable SocketAddress peers) {
    TomlSection tls = root.section("tls");
    String mode = tls.string("mode", "mutual");
    PeerSecurity security =
        switch (mode) {
          case "plain" -> readPlaintext(tls, peers);
          case "mutual" -> readMutualTls(tls);
          default -> {
            tls.addFinding(
                "invalid_value", "mode", "mode must be \"mutual\" or \"plain\"", "choose one");
            yield null;
          }
        };
    tls.rejectUnknownKeys();
    return security;
  }

  private static PeerSecurity readPlaintext(TomlSection tls, @Nullable SocketAddress peers) {
    if (peers != null && !peers.isLoopback()) {
      tls.addFinding(
          "plain_not_allowed",
          "mode",
          "plain mode is allowed on loopback addresses only, peer_address is " + peers,
          "give certificate, key and ca");
    }
    return new PeerSecurity.Plaintext();
  }

  private static @Nullable PeerSecurity readMutualTls(TomlSection tls) {
    Path certificate = tls.required("certificate", Path::of);
    Path key = tls.required("key", Path::of);
    Path ca = tls.required("ca", Path::of);
    return certificate == null || key == null || ca == null
        ? null
        : new PeerSecurity.MutualTls(certificate, key, ca);
  }
}
