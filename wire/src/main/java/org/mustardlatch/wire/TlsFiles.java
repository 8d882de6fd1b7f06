package org.mustardlatch.wire;

import java.nio.file.Path;

/**
 * PEM files for mutual TLS.
 *
 * @param certificate certificate chain of this node; a subject alternative name or the common name
 *     is its host name
 * @param key private key in PKCS #8, not encrypted
 * @param ca certificates that sign the nodes of the fleet
 */
public record TlsFiles(Path certificate, Path key, Path ca) {}
