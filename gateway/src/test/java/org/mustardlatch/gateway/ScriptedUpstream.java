package org.mustardlatch.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/** An upstream on plain sockets that reads requests and runs one scripted step for each. */
final class ScriptedUpstream implements AutoCloseable {
  /** The reaction to one request. */
  interface Step {
    /** Writes a response or closes the connection. */
    void run(Socket socket, OutputStream out, String request) throws IOException;
  }

  private final ServerSocket server;
  private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>();
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final BlockingQueue<Boolean> closedByClient = new LinkedBlockingQueue<>();

  ScriptedUpstream() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
  }

  /** Adds a step for the next request without one. */
  ScriptedUpstream onNextRequest(Step step) {
    steps.add(step);
    return this;
  }

  /** Adds a step that writes a response. */
  ScriptedUpstream respondToNextRequest(String text) {
    return onNextRequest(
        (socket, out, request) -> out.write(text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns the requests received so far, each as head, empty line and body. */
  List<String> requests() {
    return requests;
  }

  /** Returns a queue with an element for each connection that the client closed. */
  BlockingQueue<Boolean> closedByClient() {
    return closedByClient;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket s = server.accept();
        Thread.ofVirtual().start(() -> serve(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket s) {
    try (s) {
      while (true) {
        String request = readRequest(s.getInputStream());
        requests.add(request);
        Step step = steps.take();
        step.run(s, s.getOutputStream(), request);
        s.getOutputStream().flush();
        if (s.isClosed() || s.isOutputShutdown()) {
          return;
        }
      }
    } catch (IOException e) {
      closedByClient.add(true);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readRequest(InputStream in) throws IOException {
    String head = readHead(in);
    return head + new String(in.readNBytes(bodyLength(head)), StandardCharsets.UTF_8);
  }

  /** Reads up to the empty line after the headers. */
  static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int b = in.read();
      if (b < 0) {
        throw new IOException("closed");
      }
      head.append((char) b);
    }
    return head.toString();
  }

  /** Returns the Content-Length of a head, bytes; 0 if it has none. */
  static int bodyLength(String head) {
    for (String line : head.split("\r\n", -1)) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        return Integer.parseInt(line.substring(15).strip());
      }
    }
    return 0;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
