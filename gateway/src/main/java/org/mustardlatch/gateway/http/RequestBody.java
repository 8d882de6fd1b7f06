package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * The body of a caller's request. It is either held whole, or passes through to one upstream while
 * it arrives. The beginning of a body that passes through is held until bytes after it have been
 * sent, or until memory is short; until then the request can be sent again. Used on the event loop
 * only.
 */
public final class RequestBody {
  /** Bytes of a body that passes through that arrive before its request is handled. */
  static final int PREFIX_BYTES = 8 << 10;

  /** Value of the stated length of a body that comes in chunks. */
  static final long UNKNOWN_LENGTH = -1;

  /** The connection to the upstream that a body passes through to. */
  interface Sink {
    /** Sends a part; the sink releases the buffer and calls {@link RequestBody#partWritten}. */
    void partArrived(ByteBuf part);

    /** Sends the end of the body. */
    void ended();

    /** Returns whether more parts are wanted; if not, {@link RequestBody#resume} is called. */
    boolean ready();
  }

  private static final byte[] EMPTY = {};

  private final long statedLength;
  private BufferBudget.@Nullable Window window;
  private @Nullable Sink sink;
  private Runnable resumeTask = () -> {};
  private byte[] buffer = EMPTY;
  private int size;
  private boolean complete;
  private boolean discarded;
  private boolean heldPartWritten;

  RequestBody(long statedLength) {
    this.statedLength = statedLength;
  }

  /** Creates a body of which all bytes are known; they are not copied. */
  public static RequestBody of(byte[] bytes) {
    RequestBody body = new RequestBody(bytes.length);
    body.buffer = bytes;
    body.size = bytes.length;
    body.complete = true;
    return body;
  }

  /** Lets the body pass through, in this window, instead of being held whole. */
  void passThrough(BufferBudget.Window w, Runnable resume) {
    window = w;
    resumeTask = resume;
    w.add(size);
  }

  /** Returns whether the body passes through. */
  public boolean passesThrough() {
    return window != null;
  }

  /** Returns whether all bytes that have arrived are held, so that they can be sent again. */
  public boolean isHeld() {
    return !discarded;
  }

  /** Returns whether the whole body has arrived. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns the number of bytes that are held. */
  public int heldLength() {
    return size;
  }

  /** Returns the length that the caller stated, bytes; negative if it stated none. */
  public long statedLength() {
    return statedLength;
  }

  /**
   * Returns the bytes that are held; not copied if possible.
   *
   * @throws IllegalStateException if some have been discarded
   */
  public byte[] bytes() {
    if (discarded) {
      throw new IllegalStateException("the body is no longer held");
    }
    if (size < buffer.length) {
      buffer = Arrays.copyOf(buffer, size);
    }
    return buffer;
  }

  /**
   * Returns the bytes that identify the content, which do not depend on how the body arrives: all,
   * or the first {@link #PREFIX_BYTES} of a body that passes through.
   */
  public byte[] identifyingBytes() {
    byte[] held = bytes();
    return passesThrough() ? Arrays.copyOf(held, Math.min(held.length, PREFIX_BYTES)) : held;
  }

  /** Adds a part that has arrived; its bytes are copied or passed on. */
  void append(ByteBuf part) {
    int count = part.readableBytes();
    if (window != null) {
      window.add(count);
    }
    Sink s = sink;
    if (s != null && count > 0) {
      discard();
      s.partArrived(part.retainedSlice());
    } else if (discarded) {
      // The call has ended, and its request is about to.
      partWritten(count);
    } else {
      hold(part, count);
    }
  }

  private void hold(ByteBuf part, int count) {
    if (size + count > buffer.length) {
      boolean lengthIsKnown = window == null && statedLength >= size + count;
      int capacity = lengthIsKnown ? (int) statedLength : Math.max(size + count, 2 * size);
      buffer = Arrays.copyOf(buffer, capacity);
    }
    part.getBytes(part.readerIndex(), buffer, size, count);
    size += count;
  }

  void complete() {
    complete = true;
    if (sink != null) {
      sink.ended();
    }
  }

  /** Passes the parts that arrive from now on to a connection, which sends those held first. */
  void attach(Sink s) {
    sink = s;
    heldPartWritten = false;
  }

  /** Stops passing parts to a connection whose call has ended. */
  void detach(Sink s) {
    if (sink == s) {
      sink = null;
    }
  }

  /** Called when the held bytes have left this node. */
  void heldPartWritten() {
    heldPartWritten = true;
    releaseHeld();
  }

  /** Called when a part has left this node. */
  void partWritten(int count) {
    if (window != null) {
      window.release(count);
    }
  }

  private void discard() {
    discarded = true;
    buffer = EMPTY;
    releaseHeld();
  }

  private void releaseHeld() {
    if (discarded && heldPartWritten) {
      int count = size;
      size = 0;
      partWritten(count);
    }
  }

  /** Returns whether more of a body that passes through may be read from the caller. */
  boolean mayReceive() {
    BufferBudget.Window w = window;
    if (w == null || complete) {
      return true;
    }
    if (sink != null && heldPartWritten && !discarded && !w.mayReceive()) {
      // Passing the body on needs the memory more than a repeat might.
      discard();
    }
    return w.mayReceive() && (sink == null || sink.ready());
  }

  /** Called when the upstream wants more parts again. */
  void resume() {
    resumeTask.run();
  }
}
