package org.mustardlatch.wire;

import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

/** Extracts the host names from a certificate. */
final class CertificateNames {
  /** Type of a DNS name among the subject alternative names (RFC 5280). */
  private static final int DNS_NAME = 2;

  private CertificateNames() {}

  /** Returns the names in the peer's certificate; empty if it presented none. */
  static Set<String> of(SSLSession session) {
    try {
      return session.getPeerCertificates()[0] instanceof X509Certificate c ? of(c) : Set.of();
    } catch (SSLPeerUnverifiedException e) {
      return Set.of();
    }
  }

  /** Returns the DNS names and the common name; empty if the certificate can't be parsed. */
  static Set<String> of(X509Certificate certificate) {
    Set<String> names = new HashSet<>();
    try {
      Collection<List<?>> alternatives = certificate.getSubjectAlternativeNames();
      if (alternatives != null) {
        for (List<?> a : alternatives) {
          if (a.get(0) instanceof Integer type && type == DNS_NAME) {
            names.add((String) a.get(1));
          }
        }
      }
      for (Rdn rdn : new LdapName(certificate.getSubjectX500Principal().getName()).getRdns()) {
        if (rdn.getType().equalsIgnoreCase("CN")) {
          names.add(rdn.getValue().toString());
        }
      }
    } catch (CertificateParsingException | InvalidNameException e) {
      return Set.of();
    }
    return Set.copyOf(names);
  }
}
