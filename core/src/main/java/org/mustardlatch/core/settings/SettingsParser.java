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

/** Parses and validates the settings file of a daemon. All faults are reported together. */
public final class SettingsParser {
  private static final long DEFAULT_DRAIN_DELAY_MILLIS = 3_000;
  private static final long MAX_DRAIN_DELAY_MILLIS = 600_000;

  private SettingsParser() {}

  /**
   * Parses settings.
   *
   * @param file file name that findings show
   * @param text TOML text
   * @return the settings, or every fault with its location
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

  /** Returns null after a finding that leaves a required setting without a value. */
  private static @Nullable Settings readSettings(TomlSection root) {
    TomlSection nodeSection = root.section("node");
    HostId host = nodeSection.required("host", HostId::new);
    RegionId region = nodeSection.required("region", RegionId::new);
    ZoneId zone = nodeSection.required("zone", ZoneId::new);
    SocketAddress callerAddress = nodeSection.required("caller_address", SocketAddress::parse);
    SocketAddress operatorAddress = nodeSection.required("operator_address", SocketAddress::parse);
    SocketAddress peerAddress = nodeSection.required("peer_address", SocketAddress::parse);
    Duration drainDelay =
        Duration.ofMillis(
            nodeSection.integer(
                "drain_delay_ms", 0, MAX_DRAIN_DELAY_MILLIS, DEFAULT_DRAIN_DELAY_MILLIS));
    nodeSection.rejectUnknownKeys();
    TomlSection peersSection = root.section("peers");
    List<SocketAddress> seeds = peersSection.convertedStrings("seeds", SocketAddress::parse);
    peersSection.rejectUnknownKeys();
    TomlSection objectServiceSection = root.section("object_service");
    URI objectServiceUrl = objectServiceSection.required("url", URI::create);
    objectServiceSection.rejectUnknownKeys();
    PeerSecurity peerSecurity = readSecurity(root, peerAddress);
    root.rejectUnknownKeys();
    if (host == null || region == null || zone == null || objectServiceUrl == null) {
      return null;
    }
    if (callerAddress == null
        || operatorAddress == null
        || peerAddress == null
        || peerSecurity == null) {
      return null;
    }
    return new Settings(
        host,
        region,
        zone,
        callerAddress,
        operatorAddress,
        peerAddress,
        drainDelay,
        seeds,
        objectServiceUrl,
        peerSecurity);
  }

  private static @Nullable PeerSecurity readSecurity(
      TomlSection root, @Nullable SocketAddress peerAddress) {
    TomlSection tlsSection = root.section("tls");
    String mode = tlsSection.string("mode", "mutual");
    PeerSecurity peerSecurity =
        switch (mode) {
          case "plain" -> readPlaintext(tlsSection, peerAddress);
          case "mutual" -> readMutualTls(tlsSection);
          default -> {
            tlsSection.addFinding(
                "invalid_value",
                "mode",
                "mode must be \"mutual\" or \"plain\"",
                "choose one of the two modes");
            yield null;
          }
        };
    tlsSection.rejectUnknownKeys();
    return peerSecurity;
  }

  private static PeerSecurity readPlaintext(
      TomlSection tlsSection, @Nullable SocketAddress peerAddress) {
    if (peerAddress != null && !peerAddress.isLoopback()) {
      tlsSection.addFinding(
          "plain_not_allowed",
          "mode",
          "plain mode is allowed on loopback addresses only, peer_address is " + peerAddress,
          "set certificate, key and ca");
    }
    return new PeerSecurity.Plaintext();
  }

  private static @Nullable PeerSecurity readMutualTls(TomlSection tlsSection) {
    Path certificate = tlsSection.required("certificate", Path::of);
    Path key = tlsSection.required("key", Path::of);
    Path ca = tlsSection.required("ca", Path::of);
    return certificate == null || key == null || ca == null
        ? null
        : new PeerSecurity.MutualTls(certificate, key, ca);
  }
}
