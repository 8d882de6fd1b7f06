package org.mustardlatch.core.settings;

import java.nio.file.Path;

/** How connections between daemons are protected. */
public sealed interface PeerSecurity {
  /** Mutual TLS with PEM files. */
  record MutualTls(Path certificate, Path key, Path ca) implements PeerSecurity {}

  /** No protection; allowed on loopback addresses only. */
  record Plaintext() implements PeerSecurity {}
}
