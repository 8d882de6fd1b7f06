package org.mustardlatch.gateway.store;

import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.http.BufferedResponse;
import org.mustardlatch.gateway.http.BufferedResponseListener;
import org.mustardlatch.gateway.http.Call;
import org.mustardlatch.gateway.http.CallFailure;
import org.mustardlatch.gateway.http.CallRequest;
import org.mustardlatch.gateway.http.UpstreamPool;

/** Reads objects of one kind from the platform's store over HTTP. */
public final class HttpStoreReader<T> implements StoreReader<T> {
  // The store normally responds in milliseconds; after this time it is taken for unreachable.
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1_500);
  // A page of a list has about a megabyte and at least one object, which may have another.
  private static final int MAX_RESPONSE_BYTES = 8 << 20;

  private final TimerService timers;
  private final UpstreamPool pool;
  private final StoreCodec<T> codec;
  private @Nullable Long restoreCount;

  /** Creates a reader; all readers of a node share the connections of one pool. */
  public HttpStoreReader(TimerService timers, UpstreamPool pool, StoreCodec<T> codec) {
    this.timers = timers;
    this.pool = pool;
    this.codec = codec;
  }

  @Override
  public void list(@Nullable String after, Consumer<StoreResponse<T>> consumer) {
    startRead(codec.listRequest(after), RESPONSE_TIMEOUT, codec::decodeList, consumer);
  }

  @Override
  public void watch(long revision, Duration wait, Consumer<StoreResponse<T>> consumer) {
    startRead(
        codec.watchRequest(revision, wait),
        wait.plus(RESPONSE_TIMEOUT),
        codec::decodeWatch,
        consumer);
  }

  private void startRead(
      HttpRequest request,
      Duration timeout,
      BiFunction<Integer, byte[], StoreResponse<T>> decoder,
      Consumer<StoreResponse<T>> consumer) {
    var listener = new PendingRead(decoder, consumer);
    listener.timer = timers.schedule(timeout, listener::timedOut);
    CallRequest call =
        new CallRequest(request, new byte[0], true, r -> true)
            .withMaxResponseBytes(MAX_RESPONSE_BYTES);
    listener.call = pool.send(call, listener);
  }

  /** A read in progress; passes on its response, or a failure, exactly once. */
  private final class PendingRead extends BufferedResponseListener {
    private final BiFunction<Integer, byte[], StoreResponse<T>> decoder;
    private final Consumer<StoreResponse<T>> consumer;
    private @Nullable Call call;
    private @Nullable TimerSubscription timer;

    PendingRead(
        BiFunction<Integer, byte[], StoreResponse<T>> decoder,
        Consumer<StoreResponse<T>> consumer) {
      this.decoder = decoder;
      this.consumer = consumer;
    }

    @Override
    protected void responseReceived(BufferedResponse response) {
      Long count = codec.readRestoreCount(response.head().headers());
      Long known = restoreCount;
      restoreCount = count == null ? known : count;
      boolean restored = count != null && known != null && !count.equals(known);
      finish(
          restored
              ? new StoreResponse.Restored<>()
              : decoder.apply(response.status(), response.body()));
    }

    @Override
    public void failed(CallFailure failure, String reason) {
      finish(new StoreResponse.Unavailable<>(failure + " " + reason));
    }

    void timedOut() {
      if (call != null) {
        call.cancel();
      }
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
