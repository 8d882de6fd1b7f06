package org.mustardlatch.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An engine that refuses the first calls of each request and writes each refusal once more on the
 * same connection.
 */
final class RefusingEngine implements AutoCloseable {
  /** When the copy of a refusal is written. */
  enum Copy {
    AT_ONCE,
    AFTER_5_MS,
    WITH_NEXT_REQUEST,
    WITH_NEXT_STREAM,
    /** With the next request, and without the id of the refused one. */
    WITHOUT_ID
  }

  private static final Pattern ID = Pattern.compile("\r\nid: *(\\S+)", Pattern.CASE_INSENSITIVE);

  /** Time that an engine takes for a call, in which a copy arrives before the response. */
  private static final int WORK_MILLIS = 20;

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final Copy copy;
  private final String refusedPart;
  private final int refusals;
  private final Map<String, Integer> callsById = new HashMap<>();
  private final List<String> runs = new CopyOnWriteArrayList<>();
  private final List<String> copies = new CopyOnWriteArrayList<>();

  /**
   * Creates an engine.
   *
   * @param refusedPart start of the part of a request that it refuses, or "reserve"
   * @param refusals number of such calls that it refuses for each request
   */
  RefusingEngine(Copy copy, String refusedPart, int refusals) throws IOException {
    this.copy = copy;
    this.refusedPart = refusedPart;
    this.refusals = refusals;
    Thread.ofVirtual().start(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
  }

  /** Returns the ids of the requests whose streams it has begun, once for each. */
  List<String> runs() {
    return runs;
  }

  /** Returns the refusals that it has written once more. */
  List<String> copies() {
    return copies;
  }

  /** Returns the largest number of calls of the refused part that it got for one request. */
  synchronized int mostCallsOfARequest() {
    return callsById.values().stream().max(Integer::compare).orElse(0);
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
    String pendingCopy = "";
    try (s) {
      while (true) {
        String head = ScriptedUpstream.readHead(s.getInputStream());
        s.getInputStream().readNBytes(ScriptedUpstream.bodyLength(head));
        Matcher m = ID.matcher(head);
        String id = m.find() ? m.group(1) : "none";
        String part = part(head);
        if (copy != Copy.WITH_NEXT_STREAM || isStream(part)) {
          write(s, pendingCopy);
          pendingCopy = "";
        }
        if (part.startsWith(refusedPart) && refuses(id)) {
          String refusal =
              "HTTP/1.1 503 Full\r\n"
                  + (part.equals("reserve") ? "" : "Id: " + id + "\r\n")
                  + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
          write(s, refusal);
          switch (copy) {
            case AT_ONCE -> writeCopy(s, refusal);
            case AFTER_5_MS -> {
              TimeUnit.MILLISECONDS.sleep(5);
              writeCopy(s, refusal);
            }
            case WITH_NEXT_REQUEST, WITH_NEXT_STREAM -> pendingCopy = refusal;
            case WITHOUT_ID -> pendingCopy = refusal.replace("Id: " + id + "\r\n", "");
          }
          if (!pendingCopy.isEmpty()) {
            copies.add(pendingCopy);
          }
        } else {
          respond(s, id, part);
        }
      }
    } catch (IOException e) {
      // The gateway closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String part(String head) {
    if (head.startsWith("POST /reserve")) {
      return "reserve";
    }
    int at = head.indexOf("\r\nPart: ");
    return at < 0 ? "release" : head.substring(at + 8, head.indexOf("\r\n", at + 8));
  }

  private static boolean isStream(String part) {
    return part.equals("whole") || part.startsWith("decode");
  }

  private synchronized boolean refuses(String id) {
    return callsById.merge(id, 1, Integer::sum) <= refusals;
  }

  private void writeCopy(Socket s, String refusal) throws IOException {
    copies.add(refusal);
    write(s, refusal);
  }

  private static void write(Socket s, String text) throws IOException {
    OutputStream out = s.getOutputStream();
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private void respond(Socket s, String id, String part) throws IOException, InterruptedException {
    boolean stream = isStream(part);
    if (stream) {
      runs.add(id);
    }
    TimeUnit.MILLISECONDS.sleep(part.equals("release") ? 0 : WORK_MILLIS);
    String event = "id: 1\ndata: " + id + "\n\n";
    String body =
        switch (part) {
          case "reserve" -> "r1";
          case "release" -> "";
          default -> stream ? event : "kv-of-" + id;
        };
    write(
        s,
        "HTTP/1.1 200 OK\r\n"
            + (part.equals("reserve") || part.equals("release") ? "" : "Id: " + id + "\r\n")
            + "Mark: m\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
