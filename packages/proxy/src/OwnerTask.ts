import { BackendQueue } from '#admission/BackendQueue.js';
import { FairDiscipline } from '#admission/FairDiscipline.js';
import { PriorityDiscipline } from '#admission/PriorityDiscipline.js';
import type { QueueResult } from '#admission/QueueResult.js';
import type { OwnershipUpdate } from '#control/OwnershipUpdate.js';
import type { ShardReleaseRequest } from '#control/ShardReleaseRequest.js';
import type { Clock } from '#core/Clock.js';
import { TickingTask } from '#core/TickingTask.js';
import { BackendCapacity } from '#proxy/BackendCapacity.js';
import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { BackendMessage } from '#proxy/BackendMessage.js';
import type { BackendOutcome } from '#proxy/BackendOutcome.js';
import { capDeadline } from '#proxy/CapDeadline.js';
import { CrashMonitor } from '#proxy/CrashMonitor.js';
import { createOwnerFault } from '#proxy/CreateOwnerFault.js';
import { createQueuedRequest } from '#proxy/CreateQueuedRequest.js';
import { IdempotencyGate } from '#proxy/IdempotencyGate.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';
import type { RoutedRequestEvent } from '#proxy/RoutedRequestEvent.js';
import type { OwnedRequest } from '#proxy/OwnedRequest.js';
import type { OwnerFaultKind } from '#proxy/OwnerFaultKind.js';
import type { OwnerListener } from '#proxy/OwnerListener.js';
import type { OwnerMessage } from '#proxy/OwnerMessage.js';
import type { OwnerReport } from '#proxy/OwnerReport.js';
import { OwnershipView } from '#proxy/OwnershipView.js';
import { ShardReleases } from '#proxy/ShardReleases.js';

const TICK_MS = 20;
const SLOW_TICKS = 50;
const MAX_WAITING = 4096;

/**
 * Admits orders to the backend server beside this daemon: checks lease and ownership at the moment of use, idempotency,
 * quarantine, deadline and slots. Owns the queue, the idempotency records and the slow-start state.
 */
export class OwnerTask extends TickingTask<OwnerMessage> {
  private readonly gate: IdempotencyGate;
  private readonly queue = new BackendQueue(
    new PriorityDiscipline(() => new FairDiscipline()),
    1,
    MAX_WAITING,
  );
  private readonly crashes: CrashMonitor;
  private readonly orders = new Map<string, OwnedRequest>();
  private readonly releases = new ShardReleases();
  private readonly shardCounts = new Map<string, number>();
  private readonly ownership: OwnershipView;
  private readonly capacity = new BackendCapacity();
  private ticks = 0;
  private drained: (() => void) | undefined;

  public constructor(
    private readonly serverId: string,
    horizonMs: number,
    clock: Clock,
    private readonly postToBackend: (message: BackendMessage) => void,
    private readonly listener: OwnerListener,
  ) {
    super(clock);
    this.ownership = new OwnershipView(clock);
    this.crashes = new CrashMonitor(serverId, (marks) => listener.onMarks(marks));
    this.gate = new IdempotencyGate(serverId, horizonMs, clock, (orderId, bodyHash) =>
      this.post({ type: 'bodyHashed', orderId, bodyHash }),
    );
  }

  /** Starts the timers. */
  public start(): void {
    this.scheduleTicks(TICK_MS);
  }

  protected override receive(message: OwnerMessage): void {
    switch (message.type) {
      case 'order':
        this.acceptOrder(message.order, message.needsOwnership, message.graceMs);
        break;
      case 'backendEvent':
        this.handleEvent(message.orderId, message.event);
        break;
      case 'backendDone':
        this.handleDone(message.orderId, message.outcome);
        break;
      case 'cancel':
        this.cancel(message.orderId);
        break;
      case 'bodyHashed':
        this.applyBodyHash(message.orderId, message.bodyHash);
        break;
      case 'ownership':
        this.applyOwnership(message);
        break;
      case 'cell':
        this.ownership.setCell(message.cell);
        break;
      case 'release':
        this.release(message);
        break;
      case 'adopt':
        this.gate.adopt(message.records);
        break;
      case 'backendFacts':
        this.applyFacts(message.facts);
        break;
      case 'marks':
        this.crashes.merge(message.marks, this.clock.monotonicMs());
        break;
      case 'held':
        message.reply(this.crashes.list(this.clock.monotonicMs()));
        break;
      case 'lift':
        message.reply(this.crashes.lift(message.fingerprint, this.clock.monotonicMs()));
        break;
      case 'drain':
        this.beginDrain(message.reply);
        break;
      case 'report':
        message.reply(this.report());
        break;
      case 'tick':
        this.tick();
        break;
    }
  }

  private acceptOrder(order: RoutedRequest, needsOwnership: boolean, graceMs: number): void {
    const { head, entry } = order;
    const shardId = needsOwnership
      ? this.ownership.findUsable(head.service, entry.homeRegions, head.key)?.shardId
      : '';
    if (shardId === undefined) {
      order.emit({ type: 'refused', fields: createOwnerFault('notOwner', this.serverId) });
      return;
    }
    if (this.releases.has(shardId)) {
      order.emit({ type: 'refused', fields: createOwnerFault('shardReleased', this.serverId) });
      return;
    }
    if (shardId !== '') this.shardCounts.set(shardId, (this.shardCounts.get(shardId) ?? 0) + 1);
    const recorded = !order.entry.repeatable;
    if (recorded && !this.gate.admit(order, shardId)) return;
    const arrivedMs = this.clock.monotonicMs();
    this.orders.set(order.orderId, { order, shardId, recorded, graceMs, arrivedMs });
    this.enqueue(order);
  }

  private applyBodyHash(orderId: string, bodyHash: string): void {
    const owned = this.orders.get(orderId);
    this.gate.applyBodyHash(owned?.order, orderId, owned?.shardId ?? '', bodyHash);
  }

  private enqueue(order: RoutedRequest): void {
    const nowMs = this.clock.monotonicMs();
    const verdict = this.crashes.check(order, nowMs);
    if (verdict.kind === 'hold') {
      this.end(order.orderId, { type: 'refused', fields: { ...verdict.error, peer: this.serverId } });
      return;
    }
    const request = createQueuedRequest(order, verdict.kind === 'alone');
    this.apply(this.queue.arrive(request, nowMs));
  }

  private apply(results: readonly QueueResult[]): void {
    for (const result of results) {
      if (result.kind === 'start') this.startOrder(result.id);
      else this.end(result.id, { type: 'refused', fields: { ...result.error, peer: this.serverId } });
    }
  }

  private startOrder(orderId: string): void {
    const owned = this.orders.get(orderId);
    if (owned === undefined) return;
    const { order, shardId, recorded } = owned;
    // The lease may have ended while the order waited.
    if (shardId !== '' && !this.ownership.mayActOn(shardId)) {
      this.refuse(orderId, 'leaseExpired');
      this.apply(this.queue.finish(orderId, this.clock.monotonicMs(), false));
      return;
    }
    const body = recorded ? this.gate.start(order) : order.body;
    const token = shardId === '' ? 0 : (this.ownership.current.shards.get(shardId)?.token ?? 0);
    const { epoch, leaseEndMs } = this.ownership.current;
    const deadlineAtMs = capDeadline(owned, leaseEndMs, this.capacity.facts?.checksToken === true);
    this.postToBackend({ type: 'run', backendOrder: { order, body, deadlineAtMs, epoch, token } });
  }

  private handleEvent(orderId: string, event: RoutedRequestEvent): void {
    const owned = this.orders.get(orderId);
    if (owned === undefined) return;
    if (event.type === 'head') {
      const head = { ...event.head, epoch: this.gate.currentEpoch(owned.shardId) };
      this.gate.noteHead(orderId, head);
      owned.order.emit({ ...event, head });
      return;
    }
    if (event.type === 'data') {
      this.gate.noteData(orderId, event.chunk);
      owned.order.emit(event);
      return;
    }
    this.end(orderId, event);
  }

  /** Ends an order with its last event, and answers the repeats that wait for it. */
  private end(orderId: string, event: Exclude<RoutedRequestEvent, { readonly type: 'head' | 'data' }>): void {
    const owned = this.orders.get(orderId);
    if (owned === undefined) return;
    this.orders.delete(orderId);
    if (owned.recorded) this.gate.end(owned.order, owned.shardId, event);
    owned.order.emit(event);
    this.finishRelease(owned.shardId);
  }

  private refuse(orderId: string, kind: OwnerFaultKind): void {
    this.end(orderId, { type: 'refused', fields: createOwnerFault(kind, this.serverId) });
  }

  private handleDone(orderId: string, outcome: BackendOutcome): void {
    const nowMs = this.clock.monotonicMs();
    const running = this.queue.runningCount;
    const owned = this.orders.get(orderId);
    if (outcome.kind === 'lost' && owned !== undefined) this.crashes.noteLost(owned.order, nowMs);
    if (outcome.kind === 'answered' && owned !== undefined)
      this.noteAnswered(owned, outcome.serviceMs, nowMs);
    this.capacity.observe(outcome, running, nowMs);
    this.apply(this.queue.finish(orderId, nowMs, outcome.kind === 'answered'));
    this.apply(this.queue.setLimit(this.capacity.limit, nowMs));
    this.finishDrain();
  }

  private applyFacts(facts: BackendFacts | undefined): void {
    const nowMs = this.clock.monotonicMs();
    const before = this.capacity.facts;
    this.capacity.applyFacts(facts, nowMs);
    if (before !== undefined && before.incarnation !== facts?.incarnation)
      this.crashes.markDeath(before.incarnation, nowMs);
    if (facts !== undefined) {
      if (facts.leaving && this.queue.state === 'serving') this.apply(this.queue.drain());
      if (!facts.leaving && this.queue.state !== 'serving' && this.drained === undefined) this.queue.resume();
    }
    this.apply(this.queue.setLimit(this.capacity.limit, nowMs));
    if (before?.incarnation !== facts?.incarnation || before?.leaving !== facts?.leaving)
      this.listener.onBackend(facts);
  }

  private noteAnswered({ order, arrivedMs }: OwnedRequest, serviceMs: number, nowMs: number): void {
    const { owner: team, class: requestClass } = order.entry;
    const queueMs = Math.max(0, nowMs - serviceMs - arrivedMs);
    this.listener.onAnswered({ team, class: requestClass, queueMs, backendMs: serviceMs });
    this.crashes.noteAnswered(order, nowMs);
  }

  private cancel(orderId: string): void {
    const owned = this.orders.get(orderId);
    if (owned === undefined) return;
    if (this.queue.cancel(orderId)) {
      this.refuse(orderId, 'callerGone');
      return;
    }
    // The answer of a non-repeatable order serves the repeats of its id, so the order goes on.
    if (!owned.recorded) this.postToBackend({ type: 'cancel', orderId });
  }

  private applyOwnership(update: OwnershipUpdate): void {
    const isExtended =
      update.leaseEndMs > this.ownership.current.leaseEndMs || update.epoch !== this.ownership.current.epoch;
    const isSameMap = update.shards === this.ownership.current.shards;
    this.ownership.set(update);
    if (isExtended) this.postToBackend({ type: 'grant', epoch: update.epoch, leaseEndMs: update.leaseEndMs });
    if (isSameMap) return;
    this.releases.review(
      (shardId) => update.shards.has(shardId),
      (shardId) => this.isRunning(shardId),
    );
    for (const [shardId, { token }] of update.shards) {
      if (!this.releases.has(shardId)) this.gate.openShard(shardId, token);
    }
  }

  private isRunning(shardId: string): boolean {
    return [...this.orders.values()].some((owned) => owned.shardId === shardId);
  }

  private release(request: ShardReleaseRequest): void {
    const { shardId } = request;
    this.releases.add(request);
    for (const { order, shardId: other } of [...this.orders.values()]) {
      if (other === shardId && this.queue.cancel(order.orderId))
        this.refuse(order.orderId, 'releasedInQueue');
    }
    this.finishRelease(shardId);
  }

  /** Answers a release once no order of the shard runs. */
  private finishRelease(shardId: string): void {
    const request = this.releases.get(shardId);
    if (request === undefined) return;
    if (this.isRunning(shardId)) return;
    const owned = this.ownership.current.shards.get(shardId);
    // Without ownership no order of the shard can start, and the next grant of it has to find no release.
    if (owned === undefined) this.releases.end(shardId);
    request.reply(this.gate.releaseShard(shardId, owned?.token ?? 0));
  }

  private beginDrain(reply: () => void): void {
    this.drained = reply;
    this.apply(this.queue.drain());
    this.finishDrain();
  }

  private finishDrain(): void {
    if (this.drained === undefined || this.queue.runningCount > 0) return;
    this.drained();
  }

  private tick(): void {
    const nowMs = this.clock.monotonicMs();
    this.apply(this.queue.expire(nowMs));
    this.ticks += 1;
    if (this.ticks % SLOW_TICKS !== 0) return;
    this.gate.turnWindows(nowMs);
    this.crashes.expire(nowMs);
    this.listener.onLoad(new Map(this.shardCounts));
    this.shardCounts.clear();
  }

  private report(): OwnerReport {
    return {
      running: this.queue.runningCount,
      waiting: this.queue.waitingCount,
      limit: this.capacity.limit,
      slowStart: this.capacity.slowStartState,
      backend: this.capacity.facts,
      ownedShards: this.ownership.current.shards.size,
      leaseEndMs: this.ownership.current.leaseEndMs,
      onceRecords: this.gate.size,
    };
  }
}
