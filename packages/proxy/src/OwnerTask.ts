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

const TICK_INTERVAL_MS = 20;
/** Ticks between load reports, removals of expired crash marks and checks of the admission windows: one second. */
const TICKS_PER_MAINTENANCE = 50;
const MAX_QUEUED_REQUESTS = 4096;

/**
 * Admits requests to the local backend server. Checks idempotency, quarantine, deadline and free slots, and checks
 * lease and ownership both at the arrival and at the start of a request. Owns the queue, the idempotency records and
 * the slow-start state.
 */
export class OwnerTask extends TickingTask<OwnerMessage> {
  private readonly gate: IdempotencyGate;
  private readonly queue = new BackendQueue(
    new PriorityDiscipline(() => new FairDiscipline()),
    1,
    MAX_QUEUED_REQUESTS,
  );
  private readonly crashes: CrashMonitor;
  /** The waiting and running requests, by order id. */
  private readonly requests = new Map<string, OwnedRequest>();
  private readonly releases = new ShardReleases();
  /** Requests since the last load report, by shard id. */
  private readonly arrivalsByShard = new Map<string, number>();
  private readonly ownership: OwnershipView;
  private readonly capacity = new BackendCapacity();
  private ticks = 0;
  private onDrained: (() => void) | undefined;

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
    this.scheduleTicks(TICK_INTERVAL_MS);
  }

  protected override receive(message: OwnerMessage): void {
    switch (message.type) {
      case 'order':
        this.acceptRequest(message.request, message.needsOwnership, message.graceMs);
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

  private acceptRequest(request: RoutedRequest, needsOwnership: boolean, graceMs: number): void {
    const { head, entry } = request;
    const shardId = needsOwnership
      ? this.ownership.findUsable(head.service, entry.homeRegions, head.key)?.shardId
      : '';
    if (shardId === undefined) {
      request.emit({ type: 'refused', fields: createOwnerFault('notOwner', this.serverId) });
      return;
    }
    if (this.releases.has(shardId)) {
      request.emit({ type: 'refused', fields: createOwnerFault('shardReleased', this.serverId) });
      return;
    }
    if (shardId !== '') this.arrivalsByShard.set(shardId, (this.arrivalsByShard.get(shardId) ?? 0) + 1);
    const recorded = !request.entry.repeatable;
    if (recorded && !this.gate.admit(request, shardId)) return;
    const arrivedMs = this.clock.monotonicMs();
    this.requests.set(request.orderId, { request, shardId, recorded, graceMs, arrivedMs });
    this.enqueue(request);
  }

  private applyBodyHash(orderId: string, bodyHash: string): void {
    const owned = this.requests.get(orderId);
    this.gate.applyBodyHash(owned?.request, orderId, owned?.shardId ?? '', bodyHash);
  }

  private enqueue(request: RoutedRequest): void {
    const nowMs = this.clock.monotonicMs();
    const verdict = this.crashes.check(request, nowMs);
    if (verdict.kind === 'hold') {
      this.end(request.orderId, { type: 'refused', fields: { ...verdict.error, peer: this.serverId } });
      return;
    }
    const queued = createQueuedRequest(request, verdict.kind === 'alone');
    this.apply(this.queue.arrive(queued, nowMs));
  }

  private apply(results: readonly QueueResult[]): void {
    for (const result of results) {
      if (result.kind === 'start') this.startRequest(result.id);
      else this.end(result.id, { type: 'refused', fields: { ...result.error, peer: this.serverId } });
    }
  }

  private startRequest(orderId: string): void {
    const owned = this.requests.get(orderId);
    if (owned === undefined) return;
    const { request, shardId, recorded } = owned;
    // The lease may have ended while the request waited in the queue.
    if (shardId !== '' && !this.ownership.mayActOn(shardId)) {
      this.refuse(orderId, 'leaseExpired');
      this.apply(this.queue.finish(orderId, this.clock.monotonicMs(), false));
      return;
    }
    const body = recorded ? this.gate.start(request) : request.body;
    const token = shardId === '' ? 0 : (this.ownership.current.shards.get(shardId)?.token ?? 0);
    const { epoch, leaseEndMs } = this.ownership.current;
    const deadlineAtMs = capDeadline(owned, leaseEndMs, this.capacity.facts?.checksToken === true);
    this.postToBackend({ type: 'run', request: { request, body, deadlineAtMs, epoch, token } });
  }

  private handleEvent(orderId: string, event: RoutedRequestEvent): void {
    const owned = this.requests.get(orderId);
    if (owned === undefined) return;
    if (event.type === 'head') {
      const head = { ...event.head, epoch: this.gate.currentEpoch(owned.shardId) };
      this.gate.noteHead(orderId, head);
      owned.request.emit({ ...event, head });
      return;
    }
    if (event.type === 'data') {
      this.gate.noteData(orderId, event.chunk);
      owned.request.emit(event);
      return;
    }
    this.end(orderId, event);
  }

  /** Ends a request with its last event, and answers the repeats that wait for it. */
  private end(orderId: string, event: Exclude<RoutedRequestEvent, { readonly type: 'head' | 'data' }>): void {
    const owned = this.requests.get(orderId);
    if (owned === undefined) return;
    this.requests.delete(orderId);
    if (owned.recorded) this.gate.end(owned.request, owned.shardId, event);
    owned.request.emit(event);
    this.finishRelease(owned.shardId);
  }

  private refuse(orderId: string, kind: OwnerFaultKind): void {
    this.end(orderId, { type: 'refused', fields: createOwnerFault(kind, this.serverId) });
  }

  private handleDone(orderId: string, outcome: BackendOutcome): void {
    const nowMs = this.clock.monotonicMs();
    const running = this.queue.runningCount;
    const owned = this.requests.get(orderId);
    if (outcome.kind === 'lost' && owned !== undefined) this.crashes.noteLost(owned.request, nowMs);
    if (outcome.kind === 'answered' && owned !== undefined)
      this.noteResponse(owned, outcome.serviceMs, nowMs);
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
      this.crashes.noteCrash(before.incarnation, nowMs);
    if (facts !== undefined) {
      if (facts.leaving && this.queue.state === 'serving') this.apply(this.queue.drain());
      if (!facts.leaving && this.queue.state !== 'serving' && this.onDrained === undefined)
        this.queue.resume();
    }
    this.apply(this.queue.setLimit(this.capacity.limit, nowMs));
    if (before?.incarnation !== facts?.incarnation || before?.leaving !== facts?.leaving)
      this.listener.onBackend(facts);
  }

  private noteResponse({ request, arrivedMs }: OwnedRequest, serviceMs: number, nowMs: number): void {
    const { owner: team, class: requestClass } = request.entry;
    const queueMs = Math.max(0, nowMs - serviceMs - arrivedMs);
    this.listener.onResponse({ team, class: requestClass, queueMs, backendMs: serviceMs });
    this.crashes.noteResponse(request, nowMs);
  }

  private cancel(orderId: string): void {
    const owned = this.requests.get(orderId);
    if (owned === undefined) return;
    if (this.queue.cancel(orderId)) {
      this.refuse(orderId, 'callerGone');
      return;
    }
    // A non-repeatable request continues, since its response is recorded and replayed to repeats of its id.
    if (!owned.recorded) this.postToBackend({ type: 'cancel', orderId });
  }

  private applyOwnership(update: OwnershipUpdate): void {
    const isExtended =
      update.leaseEndMs > this.ownership.current.leaseEndMs || update.epoch !== this.ownership.current.epoch;
    const isSameMap = update.shards === this.ownership.current.shards;
    this.ownership.set(update);
    if (isExtended) this.postToBackend({ type: 'grant', epoch: update.epoch, leaseEndMs: update.leaseEndMs });
    if (isSameMap) return;
    this.releases.noteOwnership(
      (shardId) => update.shards.has(shardId),
      (shardId) => this.isRunning(shardId),
    );
    for (const [shardId, { token }] of update.shards) {
      if (!this.releases.has(shardId)) this.gate.openShard(shardId, token);
    }
  }

  private isRunning(shardId: string): boolean {
    return [...this.requests.values()].some((owned) => owned.shardId === shardId);
  }

  private release(releaseRequest: ShardReleaseRequest): void {
    const { shardId } = releaseRequest;
    this.releases.add(releaseRequest);
    for (const { request, shardId: other } of [...this.requests.values()]) {
      if (other === shardId && this.queue.cancel(request.orderId))
        this.refuse(request.orderId, 'releasedInQueue');
    }
    this.finishRelease(shardId);
  }

  /** Replies to the release of a shard with its records as soon as no request of the shard runs. */
  private finishRelease(shardId: string): void {
    const releaseRequest = this.releases.get(shardId);
    if (releaseRequest === undefined) return;
    if (this.isRunning(shardId)) return;
    const owned = this.ownership.current.shards.get(shardId);
    // No request of a shard that is not owned can start. A release that stayed would block the shard when it is owned
    // again.
    if (owned === undefined) this.releases.end(shardId);
    releaseRequest.reply(this.gate.releaseShard(shardId, owned?.token ?? 0));
  }

  private beginDrain(reply: () => void): void {
    this.onDrained = reply;
    this.apply(this.queue.drain());
    this.finishDrain();
  }

  private finishDrain(): void {
    if (this.onDrained === undefined || this.queue.runningCount > 0) return;
    this.onDrained();
  }

  private tick(): void {
    const nowMs = this.clock.monotonicMs();
    this.apply(this.queue.expire(nowMs));
    this.ticks += 1;
    if (this.ticks % TICKS_PER_MAINTENANCE !== 0) return;
    this.gate.rotateWindows(nowMs);
    this.crashes.expire(nowMs);
    this.listener.onLoad(new Map(this.arrivalsByShard));
    this.arrivalsByShard.clear();
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
