package org.mustardlatch.wire;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.PublishSubject;
import io.reactivex.rxjava3.subjects.Subject;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.budget.BudgetClient;
import org.mustardlatch.core.budget.BudgetTerms;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.membership.Membership;
import org.mustardlatch.core.membership.MembershipCommand;
import org.mustardlatch.core.membership.MembershipEvent;
import org.mustardlatch.core.membership.NodeIdentity;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.BudgetMessage;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.MembershipMessage;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.peer.RolloutMessage;
import org.mustardlatch.core.rollout.Rollout;
import org.mustardlatch.core.rollout.RolloutCommand;
import org.mustardlatch.core.rollout.RolloutEvent;
import org.mustardlatch.core.routing.NodeRouter;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/**
 * A node in the network of peers. Combines the transport with membership, distribution of the
 * manifest, forwarding of crash evidence and shared budgets. Calls of {@link #start} and {@link
 * #stop} must not overlap; other methods may be called on any thread.
 *
 * <p>Event loop threads, the timer service and callers submit tasks, which run one at a time. The
 * node has no thread of its own: a task runs on the thread that submits it or, if another task is
 * running then, on the thread of that task.
 */
public final class PeerNode {
  private static final long DUMP_TIMEOUT_MILLIS = 2_000;

  private final PeerNodeOptions options;
  private final TimerService timers;
  private final RandomGenerator random;
  private final PeerNodeListener listener;
  private final PeerTransport transport;
  private final Subject<Runnable> tasks = PublishSubject.<Runnable>create().toSerialized();
  private final EvidenceDeduplicator evidenceDeduplicator = new EvidenceDeduplicator();
  private final Rollout rollout;
  private final NodeBudgets budgets;
  private @Nullable Membership membership;
  private @Nullable TimerSubscription tickSubscription;
  private @Nullable TimerSubscription budgetTickSubscription;
  private @Nullable Disposable taskSubscription;
  private volatile long incarnation;
  private volatile MemberList members = new MemberList(List.of(), Set.of());
  private volatile long activeRevision;
  private volatile boolean configurationReady;

  /** Creates a node; it does nothing before {@link #start}. */
  public PeerNode(
      PeerNodeOptions options,
      TimerService timers,
      RandomGenerator random,
      PeerNodeListener listener) {
    this.options = options;
    this.timers = timers;
    this.random = random;
    this.listener = listener;
    this.incarnation = options.incarnation();
    this.rollout = new Rollout(options.host());
    this.budgets = new NodeBudgets(options.host(), options.region(), this::sendBudgetMessage);
    this.transport =
        new PeerTransport(
            new PeerTransportOptions(
                options.host(),
                this::incarnation,
                options.bind(),
                options.tls(),
                options.group(),
                options.privateNetwork()),
            this::receive,
            listener::unexpectedError);
  }

  /**
   * Starts to listen for peers and to join the fleet.
   *
   * @return the bound address
   */
  public InetSocketAddress start() {
    taskSubscription = tasks.subscribe(this::runTask, listener::unexpectedError);
    InetSocketAddress bound = transport.start();
    String address =
        options.advertised() != null
            ? options.advertised()
            : bound.getAddress().getHostAddress() + ":" + bound.getPort();
    tasks.onNext(() -> join(address));
    tickSubscription =
        timers.scheduleRepeating(Membership.TICK_PERIOD, () -> tasks.onNext(this::tick));
    budgetTickSubscription =
        timers.scheduleRepeating(
            BudgetClient.TICK_PERIOD, () -> tasks.onNext(() -> budgets.tick(timers.nanos())));
    return bound;
  }

  /** Notifies the neighbours that this node is about to stop. */
  public void leave() {
    tasks.onNext(() -> handleMembershipEvent(new MembershipEvent.LeaveRequested()));
  }

  /** Stops without notifying other nodes; call {@link #leave} first to notify them. */
  public void stop() {
    if (tickSubscription != null) {
      tickSubscription.cancel();
    }
    if (budgetTickSubscription != null) {
      budgetTickSubscription.cancel();
    }
    transport.stop();
    if (taskSubscription != null) {
      taskSubscription.dispose();
    }
  }

  /** Sends a message to a node; a message to this node itself is delivered locally. */
  public void send(HostId to, PeerMessage message) {
    tasks.onNext(() -> sendNow(to, message));
  }

  /**
   * Sends evidence to the neighbours of this node; each node forwards new evidence to its own
   * neighbours, so that it reaches all nodes. The listener of this node does not receive it.
   */
  public void broadcast(EvidenceMessage message) {
    tasks.onNext(() -> forwardIfNew(options.host(), message));
  }

  /** Reports the peer addresses that the object service lists. */
  public void nodesListed(List<String> addresses) {
    tasks.onNext(() -> handleMembershipEvent(new MembershipEvent.NodesListed(addresses)));
  }

  /** Replaces the peer addresses through which this node joins the fleet. */
  public void seedsChanged(List<String> addresses) {
    tasks.onNext(() -> handleMembershipEvent(new MembershipEvent.SeedsChanged(addresses)));
  }

  /** Reports the manifest in the object service; revision 0 with empty text if there is none. */
  public void manifestStored(long storedRevision, String text) {
    tasks.onNext(() -> handleRolloutEvent(new RolloutEvent.StoreRead(storedRevision, text)));
  }

  /** Reports that this node stored a manifest revision for an operator. */
  public void manifestPublished(long publishedRevision, String text) {
    tasks.onNext(() -> handleRolloutEvent(new RolloutEvent.Published(publishedRevision, text)));
  }

  /**
   * Sets the terms of the shared budgets of this region, by name. Every node of the region must be
   * given the same terms.
   */
  public void configureBudgets(Map<String, BudgetTerms> terms) {
    tasks.onNext(() -> budgets.configure(terms));
  }

  /**
   * Acquires units of a shared budget.
   *
   * @param units units to acquire, greater than 0
   * @param result called once with whether the units were granted, after at most {@link
   *     BudgetClient#MAX_WAIT} and one tick; must not block
   */
  public void spend(String budget, double units, Consumer<Boolean> result) {
    tasks.onNext(() -> budgets.spend(budget, units, timers.nanos(), result));
  }

  /** Returns the current incarnation of this node. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the live nodes. */
  public MemberList members() {
    return members;
  }

  /** Returns the active manifest revision; 0 if there is none. */
  public long activeRevision() {
    return activeRevision;
  }

  /**
   * Returns whether this node has had a manifest that is recent enough to serve requests. Never
   * becomes false again.
   */
  public boolean configurationReady() {
    return configurationReady;
  }

  /** Returns the counters of the transport. */
  public TransportCounters counters() {
    return transport.counters();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return transport.connectionCount();
  }

  /**
   * Returns the state for a diagnostic dump. Must not be called by the listener, because it waits
   * for a task and the listener is called within one.
   */
  public Map<String, Object> dump() {
    CompletableFuture<Map<String, Object>> dump = new CompletableFuture<>();
    tasks.onNext(() -> dump.complete(dumpNow()));
    try {
      return dump.get(DUMP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      return Map.of("error", "no dump within " + DUMP_TIMEOUT_MILLIS + " ms");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Map.of("error", "interrupted");
    }
  }

  private Map<String, Object> dumpNow() {
    Map<String, Object> all = new LinkedHashMap<>();
    Membership m = membership;
    all.put("membership", m == null ? Map.of() : m.dump());
    all.put("rollout", rollout.dump());
    all.put("budgets", budgets.dump(timers.nanos()));
    all.put("evidence_remembered", evidenceDeduplicator.size());
    all.put("transport", transport.dump());
    return all;
  }

  private void runTask(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      listener.unexpectedError(e);
    }
  }

  private void join(String address) {
    NodeIdentity self = new NodeIdentity(options.host(), options.region(), options.zone(), address);
    Membership m =
        new Membership(self, options.incarnation(), options.seeds(), random, timers.nanos());
    membership = m;
    membersChanged(m, m.members());
  }

  private void tick() {
    handleMembershipEvent(new MembershipEvent.Tick());
    handleRolloutEvent(new RolloutEvent.Tick());
  }

  private void receive(HostId from, long senderIncarnation, PeerMessage message) {
    tasks.onNext(() -> dispatch(from, senderIncarnation, message));
  }

  private void dispatch(HostId from, long senderIncarnation, PeerMessage message) {
    if (message instanceof MembershipMessage m) {
      handleMembershipEvent(new MembershipEvent.MessageReceived(from, senderIncarnation, m));
      reportPeerRevision(from, m);
      return;
    }
    handleMembershipEvent(new MembershipEvent.FrameReceived(from, senderIncarnation));
    switch (message) {
      case RolloutMessage m -> handleRolloutEvent(new RolloutEvent.MessageReceived(from, m));
      case BudgetMessage m when m.budget().startsWith(NodeRouter.UPSTREAM_BUDGET_PREFIX) ->
          listener.messageReceived(from, senderIncarnation, m);
      // A node on a platform has the allowances of workspaces in its router.
      case BudgetMessage m
          when m.budget().startsWith(NodeRouter.WORKSPACE_BUDGET_PREFIX)
              && !budgets.isConfigured() ->
          listener.messageReceived(from, senderIncarnation, m);
      case BudgetMessage m -> budgets.received(from, m, timers.nanos());
      case EvidenceMessage m -> handleEvidence(from, senderIncarnation, m);
      default -> listener.messageReceived(from, senderIncarnation, message);
    }
  }

  private void reportPeerRevision(HostId from, MembershipMessage message) {
    switch (message) {
      case MembershipMessage.Heartbeat m ->
          handleRolloutEvent(new RolloutEvent.PeerRevisionReported(from, m.configRevision()));
      case MembershipMessage.HeartbeatAck m ->
          handleRolloutEvent(new RolloutEvent.PeerRevisionReported(from, m.configRevision()));
      default -> {}
    }
  }

  private void handleEvidence(HostId from, long senderIncarnation, EvidenceMessage message) {
    switch (message) {
      case EvidenceMessage.RunRequest m -> listener.messageReceived(from, senderIncarnation, m);
      case EvidenceMessage.RunEnded m -> listener.messageReceived(from, senderIncarnation, m);
      case EvidenceMessage.RunPermission m -> listener.messageReceived(from, senderIncarnation, m);
      case EvidenceMessage.EvidenceRequest m ->
          listener.messageReceived(from, senderIncarnation, m);
      case EvidenceMessage.EvidenceSent m -> listener.messageReceived(from, senderIncarnation, m);
      case EvidenceMessage.CrashReport m -> forwardAndDeliver(from, senderIncarnation, m);
      case EvidenceMessage.Cleared m -> forwardAndDeliver(from, senderIncarnation, m);
      case EvidenceMessage.PromptCrashReport m -> forwardAndDeliver(from, senderIncarnation, m);
      case EvidenceMessage.PromptPartsCleared m -> forwardAndDeliver(from, senderIncarnation, m);
      case EvidenceMessage.RateLimitNotice m -> forwardAndDeliver(from, senderIncarnation, m);
      case EvidenceMessage.LeavingNotice m -> forwardAndDeliver(from, senderIncarnation, m);
    }
  }

  private void forwardAndDeliver(HostId from, long senderIncarnation, EvidenceMessage message) {
    if (forwardIfNew(from, message)) {
      listener.messageReceived(from, senderIncarnation, message);
    }
  }

  /** Sends new evidence to all neighbours except its sender; returns whether it is new. */
  private boolean forwardIfNew(HostId from, EvidenceMessage message) {
    Membership m = membership;
    if (m == null || !evidenceDeduplicator.addIfNew(message, timers.nanos())) {
      return false;
    }
    for (HostId h : m.neighbours()) {
      if (!h.equals(from)) {
        sendNow(h, message);
      }
    }
    return true;
  }

  private void sendNow(HostId to, PeerMessage message) {
    if (to.equals(options.host())) {
      deliverToSelf(to, message);
      return;
    }
    Membership m = membership;
    transport.send(to, m == null ? null : m.address(to), message);
  }

  private void deliverToSelf(HostId self, PeerMessage message) {
    if (message instanceof BudgetMessage m) {
      budgets.received(self, m, timers.nanos());
    } else {
      listener.messageReceived(self, incarnation, message);
    }
  }

  private void sendBudgetMessage(HostId to, BudgetMessage message) {
    sendNow(to, message);
  }

  private void handleMembershipEvent(MembershipEvent event) {
    Membership m = membership;
    if (m != null) {
      m.handle(event, timers.nanos(), c -> execute(m, c));
    }
  }

  private void execute(Membership m, MembershipCommand command) {
    switch (command) {
      case MembershipCommand.Send c -> transport.send(c.to(), c.address(), c.message());
      case MembershipCommand.SendToAddress c -> transport.sendToAddress(c.address(), c.message());
      case MembershipCommand.MembersChanged c -> membersChanged(m, c.list());
      case MembershipCommand.NodeRemoved c -> transport.removeHost(c.host());
      case MembershipCommand.Suspected c -> listener.nodeSuspected(c.host());
      case MembershipCommand.Fenced c -> {
        incarnation = c.incarnation();
        listener.fenced(c.incarnation(), c.pausedNanos());
      }
    }
  }

  private void membersChanged(Membership m, MemberList list) {
    members = list;
    budgets.membersChanged(list);
    handleRolloutEvent(new RolloutEvent.MembersChanged(list, m.neighbours()));
    listener.membersChanged(list);
  }

  private void handleRolloutEvent(RolloutEvent event) {
    rollout.handle(event, timers.nanos(), this::execute);
  }

  private void execute(RolloutCommand command) {
    switch (command) {
      case RolloutCommand.Send c -> sendNow(c.to(), c.message());
      case RolloutCommand.Apply c -> applyManifest(c.revision(), c.text());
      case RolloutCommand.Accepted c -> listener.manifestAccepted(c.revision());
      case RolloutCommand.WatchChanged c -> listener.manifestWatchChanged(c.watch());
      case RolloutCommand.Ready c -> {
        configurationReady = true;
        listener.configurationReady(c.revision());
      }
    }
  }

  private void applyManifest(long newRevision, String text) {
    // The result is handled in a separate task, because the rollout is still handling an event.
    if (listener.applyManifest(newRevision, text)) {
      activeRevision = newRevision;
      tasks.onNext(
          () -> {
            handleRolloutEvent(new RolloutEvent.Applied(newRevision));
            handleMembershipEvent(new MembershipEvent.ActiveRevisionChanged(newRevision));
          });
    } else {
      tasks.onNext(() -> handleRolloutEvent(new RolloutEvent.Rejected(newRevision)));
    }
  }
}
