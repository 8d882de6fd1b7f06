package org.mustardlatch.core.settings;

/**
 * An IP address and a port. Host names are rejected.
 *
 * @param ip IPv4 or IPv6 address, without brackets
 * @param port 0 to 65,535; 0 lets the operating system choose a free port
 */
public record SocketAddress(String ip, int port) {
  /**
   * Parses an address of the form {@code 127.0.0.1:8080} or {@code [::1]:8080}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static SocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException(
          "\"" + text + "\" must be an IP address, a colon and a port");
    }
    String ip = text.substring(0, colon);
    if (ip.startsWith("[") && ip.endsWith("]")) {
      ip = ip.substring(1, ip.length() - 1);
    }
    if (!ip.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")) {
      throw new IllegalArgumentException("\"" + ip + "\" is not an IP address");
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("\"" + text + "\" has no valid port", e);
    }
    if (port < 0 || port > 65_535) {
      throw new IllegalArgumentException("port " + port + " is not from 0 to 65535");
    }
    return new SocketAddress(ip, port);
  }

  /** Returns whether this is a loopback address, which only this machine can reach. */
  public boolean isLoopback() {
    return ip.startsWith("127.") || ip.equals("::1");
  }

  @Override
  public String toString() {
    return (ip.contains(":") ? "[" + ip + "]" : ip) + ":" + port;
  }
}
