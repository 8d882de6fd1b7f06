package org.mustardlatch.gateway.node;

import java.lang.reflect.Proxy;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;

/**
 * Signals of the operating system. The JDK's only interface to them is internal, and the compiler's
 * warning about it can't be switched off, so it is called by reflection.
 */
public final class Signals {
  private Signals() {}

  /**
   * Calls a task for every signal of a kind, instead of ending the process.
   *
   * @param name without the prefix SIG, for example {@code HUP}
   * @throws MustardlatchException if this JDK does not offer signals
   */
  public static void handle(String name, Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                task.run();
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
    } catch (ReflectiveOperationException e) {
      throw new MustardlatchException(ErrorCode.INTERNAL, "no signals in this JDK: " + e);
    }
  }
}
