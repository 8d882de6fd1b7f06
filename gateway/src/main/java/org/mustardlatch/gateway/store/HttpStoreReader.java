package org.mustardlatch.gateway.store;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.http.Call;
import org.mustardlatch.gateway.http.CallFailure;
import org.mustardlatch.gateway.http.CallListener;
import org.mustardlatch.gateway.http.CallRequest;
import org.mustardlatch.gateway.http.ResponseEnd;
import org.mustardlatch.gateway.http.UpstreamPool;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;
import org.mustardlatch.gateway.store.StoreCodec.ResponseDecoder;

/** Reads objects of one kind from the platform's store over HTTP. */
public final class HttpStoreReader<T> implements StoreReader<T> {
  // The store normally responds in milliseconds; after this time without a response, or without a
  // further part of one, it is taken for unreachable.
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1_500);
  // A large response takes seconds on a link that is full. One that takes longer is given up, as
  // what it says is of little use by then.
  private static final Duration MAX_TRANSFER_TIME = Duration.ofSeconds(15);
  // Reads whose response takes longer to arrive or to decode are logged.
  private static final Duration SLOW_READ = Duration.ofMillis(250);
  // The codec bounds what is kept of a response; the limit only ends one without an end.
  private static final long MAX_RESPONSE_BYTES = 64L << 20;

  private final TimerService timers;
  private final UpstreamPool pool;
  private final StoreCodec<T> codec;
  private @Nullable Long restoreCount;
  private Duration lastTransferTime = Duration.ZERO;

  /** Creates a reader; all readers of a node share the connections of one pool. */
  public HttpStoreReader(TimerService timers, UpstreamPool pool, StoreCodec<T> codec) {
    this.timers = timers;
    this.pool = pool;
    this.codec = codec;
  }

  @Override
  public void list(@Nullable String after, Consumer<StoreResponse<T>> consumer) {
    startRead(codec.listRequest(after), RESPONSE_TIMEOUT, codec::listDecoder, consumer);
  }

  @Override
  public void watch(long revision, Duration wait, Consumer<StoreResponse<T>> consumer) {
    startRead(
        codec.watchRequest(revision, wait),
        wait.plus(RESPONSE_TIMEOUT),
        codec::watchDecoder,
        consumer);
  }

  @Override
  public Duration lastTransferTime() {
    return lastTransferTime;
  }

  private void startRead(
      HttpRequest request,
      Duration timeout,
      IntFunction<ResponseDecoder<T>> decoderForStatus,
      Consumer<StoreResponse<T>> consumer) {
    var listener = new PendingRead(request.uri(), decoderForStatus, consumer);
    listener.startTimer(timeout);
    CallRequest call =
        new CallRequest(request, new byte[0], true).withMaxResponseBytes(MAX_RESPONSE_BYTES);
    listener.call = pool.send(call, listener);
  }

  /** A read in progress; passes on its response, or a failure, exactly once. */
  private final class PendingRead implements CallListener {
    private final String target;
    private final IntFunction<ResponseDecoder<T>> decoderForStatus;
    private final Consumer<StoreResponse<T>> consumer;
    private final long sentNanos = timers.nanos();
    private long headNanos;
    private long lastPartNanos;
    private long bodyBytes;
    private @Nullable ResponseDecoder<T> decoder;
    private @Nullable Long responseRestoreCount;
    private @Nullable Call call;
    private @Nullable TimerSubscription timer;

    PendingRead(
        String target,
        IntFunction<ResponseDecoder<T>> decoderForStatus,
        Consumer<StoreResponse<T>> consumer) {
      this.target = target;
      this.decoderForStatus = decoderForStatus;
      this.consumer = consumer;
    }

    @Override
    public void headReceived(HttpResponse head) {
      headNanos = timers.nanos();
      lastPartNanos = headNanos;
      decoder = decoderForStatus.apply(head.status().code());
      responseRestoreCount = codec.readRestoreCount(head.headers());
    }

    @Override
    public void bodyReceived(ByteBuf part) {
      lastPartNanos = timers.nanos();
      bodyBytes += part.readableBytes();
      Objects.requireNonNull(decoder).append(ByteBufUtil.getBytes(part));
    }

    @Override
    public void completed(ResponseEnd end) {
      Long count = responseRestoreCount;
      Long known = restoreCount;
      restoreCount = count == null ? known : count;
      boolean restored = count != null && known != null && !count.equals(known);
      long endNanos = timers.nanos();
      lastTransferTime = Duration.ofNanos(endNanos - headNanos);
      StoreResponse<T> result = restored ? new StoreResponse.Restored<>() : decode();
      logIfSlow("complete", endNanos);
      finish(result);
    }

    /** Logs where the time of a slow read went: before the response, on the way, or decoding. */
    private void logIfSlow(String outcome, long endNanos) {
      if (headNanos != 0 && timers.nanos() - headNanos >= SLOW_READ.toNanos()) {
        EventLog.log(
            LogEvent.STORE_READ_SLOW,
            target,
            outcome,
            bodyBytes,
            millis(headNanos - sentNanos),
            millis(endNanos - headNanos),
            millis(timers.nanos() - endNanos));
      }
    }

    private static long millis(long nanos) {
      return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private StoreResponse<T> decode() {
      try {
        return Objects.requireNonNull(decoder).finish();
      } catch (RuntimeException e) {
        EventLog.log(LogEvent.UNEXPECTED_ERROR, "codec of the store", e);
        return new StoreResponse.Unavailable<>("unreadable response: " + e);
      }
    }

    @Override
    public void failed(CallFailure failure, String reason) {
      logIfSlow("broken", timers.nanos());
      finish(new StoreResponse.Unavailable<>(failure + " " + reason));
    }

    void startTimer(Duration timeout) {
      timer = timers.schedule(timeout, this::checkProgress);
    }

    /** Gives the read up unless a part of its response has arrived lately. */
    private void checkProgress() {
      long now = timers.nanos();
      long deadline =
          Math.min(
              lastPartNanos + RESPONSE_TIMEOUT.toNanos(), headNanos + MAX_TRANSFER_TIME.toNanos());
      if (headNanos != 0 && now < deadline) {
        startTimer(Duration.ofNanos(deadline - now));
      } else {
        timedOut();
      }
    }

    private void timedOut() {
      if (call != null) {
        call.cancel();
      }
      logIfSlow("timed out", timers.nanos());
      finish(new StoreResponse.Unavailable<>("no answer in time"));
    }

    private void finish(StoreResponse<T> result) {
      if (timer != null) {
        timer.cancel();
      }
      // The consumer may start the next call, which must not run inside the connection's handler.
      timers.schedule(Duration.ZERO, () -> consumer.accept(result));
    }
  }
}
