package org.mustardlatch.gateway.node;

import java.lang.reflect.Proxy;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;

/**
 * Handles signals of the operating system. The JDK's only API for them is internal, and the
 * compiler's warning about its use can't be suppressed, so it is called by reflection.
 */
public final class Signals {
  private Signals() {}

  /**
   * Runs a task for each signal of the given name, on a thread of the JDK, instead of the default
   * action.
   *
   * @param name signal name without the prefix SIG, for example {@code HUP}
   * @throws MustardlatchException if this JDK does not support signal handlers
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
      throw new MustardlatchException(
          ErrorCode.INTERNAL, "this JDK does not support signal handlers: " + e);
    }
  }
}
