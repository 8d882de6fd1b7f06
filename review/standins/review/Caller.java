package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A caller's channel, which it keeps for many requests. */
final class Caller implements AutoCloseable {
  /**
   * What came back.
   *
   * @param status 0 if no head came
   * @param complete whether the whole answer came
   */
  record Answer(int status, Map<String, String> headers, String body, boolean complete) {
    boolean closes() {
      return !complete || headers.getOrDefault("Connection", "").equalsIgnoreCase("close");
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;

  Caller(Rig.Node node) throws IOException {
    socket.connect(new InetSocketAddress(node.ip, node.callerPort), 1_000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request and returns what comes back within a time. */
  Answer call(
      String method, String path, Map<String, String> headers, byte[] body, long timeoutMillis) {
    try {
      send(method, path, headers, body);
      return read(timeoutMillis);
    } catch (IOException e) {
      return new Answer(0, Map.of(), String.valueOf(e.getMessage()), false);
    }
  }

  void send(String method, String path, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder();
    head.append(method).append(' ').append(path).append(" HTTP/1.1\r\n");
    head.append("Host: ficu95.example\r\n");
    headers.forEach((n, v) -> head.append(n).append(": ").append(v).append("\r\n"));
    if (body.length > 0 || method.equals("POST")) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.writeBytes(body);
    socket.getOutputStream().write(all.toByteArray());
  }

  /** Sends bytes as they are. */
  void sendRaw(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  Answer read(long timeoutMillis) {
    Map<String, String> headers = Rig.headers();
    StringBuilder body = new StringBuilder();
    int status = 0;
    try {
      socket.setSoTimeout((int) timeoutMillis);
      String line = Wire.readLine(in);
      status = Integer.parseInt(line.split(" ")[1]);
      Wire.readHeaders(in, headers);
      String length = headers.get("Content-Length");
      if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
        while (true) {
          int size = Integer.parseInt(Wire.readLine(in).trim(), 16);
          body.append(Wire.read(in, size));
          Wire.readLine(in);
          if (size == 0) {
            return new Answer(status, headers, body.toString(), true);
          }
        }
      }
      if (length == null) {
        throw new EOFException("no length");
      }
      body.append(Wire.read(in, Integer.parseInt(length)));
      return new Answer(status, headers, body.toString(), true);
    } catch (IOException | RuntimeException e) {
      return new Answer(status, headers, body + " [" + e.getMessage() + "]", false);
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is sent on it any more.
    }
  }
}
