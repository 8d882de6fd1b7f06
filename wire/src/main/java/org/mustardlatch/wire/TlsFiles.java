package org.mustardlatch.wire;

import java.nio.file.Path;

/**
 * PEM files for mutual TLS.
 *
 * @param certificate certificate chain of this node; its host name is a subject alternative name or
 *     the common name
 * @param key unencrypted private key in PKCS #8 format
 * @param ca certificates of the authorities that sign the certificates of the nodes
 */
public record TlsFiles(Path certificate, Path key, Path ca) {}
