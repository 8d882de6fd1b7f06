package org.mustardlatch.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Prints free TCP ports of the loopback address, for programs whose ports must be known first. */
public final class FreePorts {
  private FreePorts() {}

  /** Returns different ports that were free a moment ago. */
  static List<Integer> find(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Prints as many ports as the argument says, on one line. */
  public static void main(String[] args) throws IOException {
    System.out.println(
        find(Integer.parseInt(args[0])).stream()
            .map(String::valueOf)
            .collect(Collectors.joining(" ")));
  }
}
