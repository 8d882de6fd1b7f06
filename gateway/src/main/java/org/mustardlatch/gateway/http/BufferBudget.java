package org.mustardlatch.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Decides how many bytes of requests and responses a node holds in memory. The capacity has three
 * parts, so that none of the loads below takes the room of another:
 *
 * <ul>
 *   <li>Small messages, up to {@link #SMALL_BYTES}, are reserved at once as long as their part has
 *       room.
 *   <li>Messages that must be held whole are reserved in order of arrival and wait for room.
 *   <li>Messages that pass through get a window. Each window has {@link #GUARANTEED_BYTES} for
 *       itself; the rest is shared. Windows beyond the number that can be guaranteed wait in order
 *       of arrival, so that any number of peers that read or write slowly stays within the part.
 * </ul>
 *
 * <p>A window may exceed its limit by the bytes of one read. Tasks that are given to this class run
 * within the call that makes room. Not thread-safe.
 */
public final class BufferBudget {
  /** Messages up to this length, bytes, are small. */
  public static final int SMALL_BYTES = 64 << 10;

  /** Bytes that each window may hold whatever the others hold. */
  static final int GUARANTEED_BYTES = 16 << 10;

  /** Bytes that a window may hold if the node has room for them. */
  static final int MAX_WINDOW_BYTES = 256 << 10;

  // A window gets at most this fraction of the shared bytes that are free, so that some remain for
  // others however many windows there are.
  private static final int SHARE_DIVISOR = 8;
  // Objects of the process other than buffers need the rest of the heap: about 30 MB of 96 MB were
  // in use without load, and garbage needs room between collections.
  private static final int HEAP_DIVISOR = 3;

  private final long smallCapacity;
  private final long wholeCapacity;
  private final long windowCapacity;
  private final int maxWindows;
  private final Deque<Reservation> waitingReservations = new ArrayDeque<>();
  private final Deque<Window> waitingWindows = new ArrayDeque<>();
  private long smallBytes;
  private long wholeBytes;
  private long windowBytes;
  private long sharedBytes;
  private int admittedWindows;

  /**
   * Creates a budget of which nothing is used.
   *
   * @param capacity bytes; at least {@code 8 * SMALL_BYTES}
   */
  public BufferBudget(long capacity) {
    if (capacity < 8L * SMALL_BYTES) {
      throw new IllegalArgumentException("capacity is too small: " + capacity);
    }
    this.smallCapacity = capacity / 4;
    this.wholeCapacity = capacity / 4;
    this.windowCapacity = capacity - smallCapacity - wholeCapacity;
    this.maxWindows = (int) Math.min(Integer.MAX_VALUE, windowCapacity / GUARANTEED_BYTES);
  }

  /** Creates a budget of a third of the maximum heap of this process. */
  public static BufferBudget ofHeap() {
    return new BufferBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /** Returns the bytes that are reserved or held in windows. */
  public long usedBytes() {
    return smallBytes + wholeBytes + windowBytes;
  }

  /** Returns the number of messages that wait for room. */
  public int waiting() {
    return waitingReservations.size() + waitingWindows.size();
  }

  /** Returns the bytes that may be queued to one upstream: a quarter of those of all windows. */
  public long maxBytesToOneUpstream() {
    return windowCapacity / 4;
  }

  /** Returns the length of the longest message that can be held whole, bytes. */
  long maxWholeBytes() {
    return wholeCapacity;
  }

  /** Returns whether a message of this length, bytes, can ever be held whole. */
  boolean fits(long bytes) {
    return bytes <= wholeCapacity;
  }

  /**
   * Reserves memory for a small message at once.
   *
   * @param bytes at most {@link #SMALL_BYTES}
   * @return null if the part for small messages is used up
   */
  @Nullable Reservation tryReserveSmall(long bytes) {
    if (bytes > SMALL_BYTES || smallBytes + bytes > smallCapacity) {
      return null;
    }
    smallBytes += bytes;
    return new Reservation(bytes, true, () -> {});
  }

  /**
   * Reserves memory for a message that is held whole, after those that wait already.
   *
   * @param granted runs when the memory is reserved, unless it is reserved at once
   * @throws IllegalArgumentException if the message can never be held
   */
  Reservation reserve(long bytes, Runnable granted) {
    if (!fits(bytes)) {
      throw new IllegalArgumentException("more than the capacity: " + bytes);
    }
    Reservation r = new Reservation(bytes, false, granted);
    if (waitingReservations.isEmpty() && wholeBytes + bytes <= wholeCapacity) {
      wholeBytes += bytes;
      r.granted = true;
    } else {
      waitingReservations.add(r);
    }
    return r;
  }

  /**
   * Opens a window, which is admitted at once or after those that wait already.
   *
   * @param resumed runs when {@link Window#mayReceive} has returned false and would return true
   */
  Window openWindow(Runnable resumed) {
    Window w = new Window(resumed);
    if (waitingWindows.isEmpty() && admittedWindows < maxWindows) {
      admittedWindows++;
      w.admitted = true;
    } else {
      waitingWindows.add(w);
    }
    return w;
  }

  private void grantReservations() {
    Reservation next = waitingReservations.peek();
    while (next != null && wholeBytes + next.bytes <= wholeCapacity) {
      waitingReservations.remove();
      wholeBytes += next.bytes;
      next.granted = true;
      next.grantedTask.run();
      next = waitingReservations.peek();
    }
  }

  private void admitWindows() {
    while (admittedWindows < maxWindows && !waitingWindows.isEmpty()) {
      Window next = waitingWindows.remove();
      admittedWindows++;
      next.admitted = true;
      next.resumeIfBlocked();
    }
  }

  /** Memory for one message. */
  final class Reservation {
    private final boolean small;
    private final Runnable grantedTask;
    private long bytes;
    private boolean granted;
    private boolean closed;

    private Reservation(long bytes, boolean small, Runnable grantedTask) {
      this.bytes = bytes;
      this.small = small;
      this.granted = small;
      this.grantedTask = grantedTask;
    }

    /** Returns whether the memory may be used. */
    boolean granted() {
      return granted;
    }

    /** Returns what exceeds the given number of bytes, once a message turns out to be shorter. */
    void shrinkTo(long length) {
      long surplus = bytes - length;
      if (granted && !closed && surplus > 0) {
        bytes = length;
        giveBack(surplus);
      }
    }

    /** Returns the memory, or stops to wait for it. */
    void close() {
      if (closed) {
        return;
      }
      closed = true;
      if (granted) {
        giveBack(bytes);
      } else {
        waitingReservations.remove(this);
        grantReservations();
      }
    }

    private void giveBack(long count) {
      if (small) {
        smallBytes -= count;
      } else {
        wholeBytes -= count;
        grantReservations();
      }
    }
  }

  /** Bytes of a message that passes through, between their arrival and their departure. */
  final class Window {
    private final Runnable resumed;
    private long held;
    private boolean admitted;
    private boolean blocked;
    private boolean closed;

    private Window(Runnable resumed) {
      this.resumed = resumed;
    }

    /** Returns whether more bytes may be read. If not, the task of this window runs later. */
    boolean mayReceive() {
      boolean result = hasRoom();
      blocked = !result;
      return result;
    }

    private boolean hasRoom() {
      if (!admitted || held >= MAX_WINDOW_BYTES) {
        return false;
      }
      long free = windowCapacity - (long) admittedWindows * GUARANTEED_BYTES - sharedBytes;
      return held < GUARANTEED_BYTES || held - GUARANTEED_BYTES < free / SHARE_DIVISOR;
    }

    /** Returns the bytes held. */
    long held() {
      return held;
    }

    /** Counts bytes that have arrived. */
    void add(long bytes) {
      if (!closed) {
        setHeld(held + bytes);
      }
    }

    /** Counts bytes that have departed; those of a closed window have been counted already. */
    void release(long bytes) {
      if (!closed) {
        setHeld(Math.max(0, held - bytes));
        resumeIfBlocked();
      }
    }

    private void setHeld(long bytes) {
      sharedBytes += Math.max(0, bytes - GUARANTEED_BYTES) - Math.max(0, held - GUARANTEED_BYTES);
      windowBytes += bytes - held;
      held = bytes;
    }

    private void resumeIfBlocked() {
      if (blocked && hasRoom()) {
        blocked = false;
        resumed.run();
      }
    }

    /** Returns all bytes and the place of this window. */
    void close() {
      if (closed) {
        return;
      }
      setHeld(0);
      closed = true;
      blocked = false;
      if (admitted) {
        admitted = false;
        admittedWindows--;
        admitWindows();
      } else {
        waitingWindows.remove(this);
      }
    }
  }
}
