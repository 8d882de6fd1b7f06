package org.mustardlatch.wire;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** A certificate authority for tests, which writes the PEM files of hosts to a directory. */
public final class TestCertificates {
  private final Path directory;
  private final KeyPair caKey;
  private final X500Name issuer;
  private long serial = 1;

  /** Creates an authority with a new key and writes its certificate. */
  public TestCertificates(Path directory, String name) {
    this.directory = directory;
    this.caKey = newKey();
    this.issuer = new X500Name("CN=" + name);
    try {
      X509v3CertificateBuilder b = builder(issuer, caKey);
      b.addExtension(Extension.basicConstraints, true, new BasicConstraints(true));
      write(caFile(), sign(b));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Issues a certificate with the host as subject alternative name and writes it with its key. */
  public TlsFiles issue(String host) {
    try {
      KeyPair key = newKey();
      X509v3CertificateBuilder b = builder(new X500Name("CN=node"), key);
      GeneralName name = new GeneralName(GeneralName.dNSName, host);
      b.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(name));
      Path certificate = directory.resolve(host + ".crt");
      Path privateKey = directory.resolve(host + ".key");
      write(certificate, sign(b));
      write(privateKey, new JcaPKCS8Generator(key.getPrivate(), null));
      return new TlsFiles(certificate, privateKey, caFile());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private Path caFile() {
    return directory.resolve(issuer.toString().substring("CN=".length()) + "-ca.crt");
  }

  private X509v3CertificateBuilder builder(X500Name subject, KeyPair key) {
    Instant now = Instant.now();
    return new JcaX509v3CertificateBuilder(
        issuer,
        BigInteger.valueOf(serial++),
        Date.from(now.minus(Duration.ofDays(1))),
        Date.from(now.plus(Duration.ofDays(1))),
        subject,
        key.getPublic());
  }

  private X509Certificate sign(X509v3CertificateBuilder builder) {
    try {
      return new JcaX509CertificateConverter()
          .getCertificate(
              builder.build(
                  new JcaContentSignerBuilder("SHA256withECDSA").build(caKey.getPrivate())));
    } catch (GeneralSecurityException | OperatorCreationException e) {
      throw new IllegalStateException(e);
    }
  }

  private static KeyPair newKey() {
    try {
      KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
      generator.initialize(new ECGenParameterSpec("secp256r1"));
      return generator.generateKeyPair();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void write(Path file, Object content) throws IOException {
    StringWriter text = new StringWriter();
    try (JcaPEMWriter pem = new JcaPEMWriter(text)) {
      pem.writeObject(content);
    }
    Files.writeString(file, text.toString());
  }
}
