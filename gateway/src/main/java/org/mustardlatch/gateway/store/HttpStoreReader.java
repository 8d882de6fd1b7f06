package org.mustardlatch.gateway.store;

import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.http.Call;
import org.mustardlatch.gateway.http.CallFailure;
import org.mustardlatch.gateway.http.CallRequest;
import org.mustardlatch.gateway.http.BufferedResponseListener;
import org.mustardlatch.gateway.http.BufferedResponse;
import org.mustardlatch.gateway.http.UpstreamPool;

/** Reads objects of one kind over HTTP. */
public final class HttpStoreReader<T> implements StoreReader<T> {
  // A store that answers in milliseconds is taken for unreachable after this.
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1_500);

  private final TimerService timers;
  private final UpstreamPool pool;
  private final StoreCodec<T> codec;

  /** Creates a reader; all readers of a node share the connections of one pool. */
  public HttpStoreReader(TimerService timers, UpstreamPool pool, StoreCodec<T> codec) {
    this.timers = timers;
    this.pool = pool;
    this.codec = codec;
  }

  @Override
  public void list(@Nullable String after, Consumer<StoreResponse<T>> answer) {
    send(codec.listRequest(after), RESPONSE_TIMEOUT, codec::decodeList, answer);
  }

  @Override
  public void watch(long revision, Duration wait, Consumer<StoreResponse<T>> answer) {
    send(codec.watchRequest(revision, wait), wait.plus(RESPONSE_TIMEOUT), codec::decodeWatch, answer);
  }

  private void send(
      HttpRequest request,
      Duration timeout,
      BiFunction<Integer, byte[], StoreResponse<T>> decoder,
      Consumer<StoreResponse<T>> answer) {
    var listener = new PendingRead(decoder, answer);
    listener.timer = timers.schedule(timeout, listener::timedOut);
    listener.call = pool.send(new CallRequest(request, new byte[0], true, r -> true), listener);
  }

  /** Collects one answer. */
  private final class PendingRead extends BufferedResponseListener {
    private final BiFunction<Integer, byte[], StoreResponse<T>> decoder;
    private final Consumer<StoreResponse<T>> answer;
    private @Nullable Call call;
    private @Nullable TimerSubscription timer;

    PendingRead(BiFunction<Integer, byte[], StoreResponse<T>> decoder, Consumer<StoreResponse<T>> answer) {
      this.decoder = decoder;
      this.answer = answer;
    }

    @Override
    protected void responseReceived(BufferedResponse whole) {
      finish(decoder.apply(whole.status(), whole.body()));
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
      // The next call must not start inside of the connection's handling of this one.
      timers.schedule(Duration.ZERO, () -> answer.accept(result));
    }
  }
}
