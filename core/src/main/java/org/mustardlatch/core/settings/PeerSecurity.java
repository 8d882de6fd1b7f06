package org.mustardlatch.core.settings;

import java.nio.file.Path;

/** Transport security of the connections between daemons. */
public sealed interface PeerSecurity {
  /**
   * Mutual TLS.
   *
   * @param certificate PEM file with the certificate of this daemon
   * @param key PEM file with the private key of the certificate
   * @param ca PEM file with the certificates of the trusted certificate authorities
   */
  record MutualTls(Path certificate, Path key, Path ca) implements PeerSecurity {}

  /** Unencrypted and unauthenticated; allowed on loopback addresses only. */
  record Plaintext() implements PeerSecurity {}
}
