package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

/**
 * Buffers the response to a call within the memory of the node. A long response of a stated length
 * passes through once its beginning has been buffered, if it is final.
 */
public abstract class PassingResponseListener extends BufferedResponseListener {
  private final BufferBudget budget;
  private BufferBudget.@Nullable Reservation reservation;
  private long reservedBytes;
  private long statedLength;
  private boolean mayPass;
  private boolean passing;

  /** Creates a listener that has not received a response yet. */
  protected PassingResponseListener(BufferBudget budget) {
    this.budget = budget;
  }

  /** Returns whether the caller gets a response with this head whatever its body is. */
  protected abstract boolean isFinal(HttpResponse head);

  /** Begins to pass on a response of which the beginning has been received. */
  protected abstract void passingBegan(BufferedResponse beginning);

  /** Passes on a part; the buffer is only valid during the call. */
  protected abstract void partPassed(ByteBuf part);

  /** Ends a response that was passed on. */
  protected abstract void passingEnded(BufferedResponse beginning);

  /** Pauses or resumes reading the response. */
  protected abstract void setAutoRead(boolean read);

  @Override
  public final void headReceived(HttpResponse head) {
    super.headReceived(head);
    statedLength = HttpUtil.getContentLength(head, -1L);
    mayPass =
        statedLength > BufferBudget.SMALL_BYTES
            && statedLength <= CallRequest.DEFAULT_MAX_RESPONSE_BYTES
            && isFinal(head);
  }

  @Override
  public final void bodyReceived(ByteBuf part) {
    if (passing) {
      partPassed(part);
      return;
    }
    super.bodyReceived(part);
    BufferedResponse response = requireResponse();
    if (reservation == null) {
      reserve();
    }
    if (mayPass) {
      boolean memoryIsShort = reservation == null;
      if (memoryIsShort || response.length() >= BufferBudget.SMALL_BYTES) {
        passing = true;
        passingBegan(response);
      }
    } else if (reservation == null || response.length() > reservedBytes) {
      reserveWhole();
    }
  }

  /** Reserves memory for a short response, or for the beginning of a long one. */
  private void reserve() {
    long bytes = statedLength < 0 || mayPass ? BufferBudget.SMALL_BYTES : statedLength;
    reservation = budget.tryReserveSmall(bytes);
    reservedBytes = bytes;
  }

  /** Waits, without reading on, for memory for a response that must be held whole. */
  private void reserveWhole() {
    if (reservation != null) {
      reservation.close();
    }
    long longest = Math.min(CallRequest.DEFAULT_MAX_RESPONSE_BYTES, budget.maxWholeBytes());
    reservedBytes = longest;
    long bytes = statedLength < 0 ? longest : Math.min(longest, statedLength);
    BufferBudget.Reservation r = budget.reserve(bytes, () -> setAutoRead(true));
    reservation = r;
    if (!r.granted()) {
      setAutoRead(false);
    }
  }

  @Override
  public final void completed(ResponseEnd end) {
    if (passing) {
      passingEnded(requireResponse());
    } else {
      super.completed(end);
    }
  }

  /** Returns whether parts of the response have been passed on. */
  public final boolean passing() {
    return passing;
  }

  /** Returns the memory of the response, which has left this node or is not needed. */
  public final void releaseMemory() {
    if (reservation != null) {
      reservation.close();
    }
  }
}
