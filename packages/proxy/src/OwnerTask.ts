import { BackendQueue } from '#admission/BackendQueue.js';
import { FairOrder } from '#admission/FairOrder.js';
import { PriorityOrder } from '#admission/PriorityOrder.js';
import { Quarantine } from '#admission/Quarantine.js';
import type { QueueResult } from '#admission/QueueResult.js';
import { SlowStart } from '#admission/SlowStart.js';
import { findShard } from '#assignment/FindShard.js';
import { formatPlacement } from '#assignment/FormatPlacement.js';
import type { Cell } from '#assignment/Cell.js';
import type { OwnershipUpdate } from '#control/OwnershipUpdate.js';
import type { ReleaseRequest } from '#control/ReleaseRequest.js';
import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';
import { Logger } from '#core/Logger.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { Task } from '#core/Task.js';
import { compareBody } from '#once/CompareBody.js';
import type { OnceRecord } from '#once/OnceRecord.js';
import { OnceTable } from '#once/OnceTable.js';
import type { ShardRecords } from '#once/ShardRecords.js';
import { AnswerCapture } from '#proxy/AnswerCapture.js';
import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { BackendMessage } from '#proxy/BackendMessage.js';
import type { BackendOutcome } from '#proxy/BackendOutcome.js';
import { createFingerprint } from '#proxy/CreateFingerprint.js';
import { hashBody } from '#proxy/HashBody.js';
import type { Order } from '#proxy/Order.js';
import type { OrderEvent } from '#proxy/OrderEvent.js';
import type { OwnedOrder } from '#proxy/OwnedOrder.js';
import type { OwnerListener } from '#proxy/OwnerListener.js';
import type { OwnerMessage } from '#proxy/OwnerMessage.js';
import type { OwnerReport } from '#proxy/OwnerReport.js';

const TICK_MS = 20;
const SLOW_TICKS = 50;
const MAX_WAITING = 4096;
const MAX_ANSWER_BYTES = 65_536;
const ONCE_MAX_RECORDS = 200_000;
const ONCE_MAX_BYTES = 16_000_000;
const QUARANTINE_MAX_ENTRIES = 10_000;
const QUARANTINE_KEEP_MS = 3_600_000;
/** Orders that were lost within this time of the death of the backend server count as in flight at its death. */
const DEATH_WINDOW_MS = 2000;
const MOVE_RETRY_MS = 50;

interface LostOrder {
  readonly order: Order;
  readonly atMs: number;
}

interface Repeat {
  readonly order: Order;
  readonly bodyHash: string;
}

/**
 * Admits orders to the backend server beside this daemon: checks lease and ownership at the moment of use, idempotency,
 * quarantine, deadline and slots. Owns the queue, the idempotency records and the slow-start state.
 */
export class OwnerTask extends Task<OwnerMessage> {
  private readonly logger = new Logger('owner');
  private readonly once: OnceTable;
  private readonly queue = new BackendQueue(new PriorityOrder(() => new FairOrder()), 1, MAX_WAITING);
  private readonly quarantine = new Quarantine(QUARANTINE_MAX_ENTRIES, QUARANTINE_KEEP_MS);
  private readonly orders = new Map<string, OwnedOrder>();
  private readonly captures = new Map<string, AnswerCapture>();
  private readonly repeats = new Map<string, readonly Repeat[]>();
  private readonly hashing = new Map<string, OnceRecord>();
  private readonly releases = new Map<string, ReleaseRequest>();
  private readonly released = new Map<string, ShardRecords>();
  private readonly adopted = new Map<string, ShardRecords>();
  private readonly shardCounts = new Map<string, number>();
  private slowStart = new SlowStart(1);
  private ownership: OwnershipUpdate = { type: 'ownership', epoch: 0, leaseEndMs: 0, shards: new Map() };
  private cells: ReadonlyMap<string, Cell> = new Map();
  private facts: BackendFacts | undefined;
  private lost: readonly LostOrder[] = [];
  private ticks = 0;
  private drained: (() => void) | undefined;
  private cancelTick: Cancel = () => undefined;

  public constructor(
    private readonly serverId: string,
    horizonMs: number,
    private readonly clock: Clock,
    private readonly postToBackend: (message: BackendMessage) => void,
    private readonly listener: OwnerListener,
  ) {
    super();
    this.once = new OnceTable({
      horizonMs,
      maxRecords: ONCE_MAX_RECORDS,
      maxBytes: ONCE_MAX_BYTES,
      maxAnswerLength: Math.ceil((MAX_ANSWER_BYTES * 4) / 3) + 4,
    });
  }

  /** Starts the timers. */
  public start(): void {
    this.scheduleTick();
  }

  public override stop(): void {
    super.stop();
    this.cancelTick();
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
        this.handleBodyHash(message.orderId, message.bodyHash);
        break;
      case 'ownership':
        this.applyOwnership(message);
        break;
      case 'cell':
        this.cells = new Map(this.cells).set(`${message.cell.service}/${message.cell.index}`, message.cell);
        break;
      case 'release':
        this.release(message);
        break;
      case 'adopt':
        this.adopted.set(message.records.shardId, message.records);
        break;
      case 'backendFacts':
        this.applyFacts(message.facts);
        break;
      case 'marks':
        this.quarantine.merge(message.marks, this.clock.monotonicMs());
        break;
      case 'held':
        message.reply(this.quarantine.list(this.clock.monotonicMs()));
        break;
      case 'lift':
        message.reply(this.lift(message.fingerprint));
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

  private acceptOrder(order: Order, needsOwnership: boolean, graceMs: number): void {
    const shardId = needsOwnership ? this.findOwnedShard(order) : '';
    if (shardId === undefined) {
      order.emit({ type: 'refused', fields: this.createFault('notOwner', 'own', 421, MOVE_RETRY_MS) });
      return;
    }
    if (this.releases.has(shardId)) {
      order.emit({ type: 'refused', fields: this.createFault('shardMoving', 'own', 503, MOVE_RETRY_MS) });
      return;
    }
    if (shardId !== '') this.shardCounts.set(shardId, (this.shardCounts.get(shardId) ?? 0) + 1);
    const recorded = !order.entry.repeatable;
    if (recorded && !this.admitOnce(order, shardId)) return;
    this.orders.set(order.orderId, { order, shardId, recorded, graceMs });
    this.enqueue(order);
  }

  /** Returns the shard of the order if this daemon may act on it now. */
  private findOwnedShard(order: Order): string | undefined {
    const { head, entry } = order;
    const placement = formatPlacement(entry.homeRegions);
    for (const cell of this.cells.values()) {
      if (cell.service !== head.service) continue;
      const found = findShard(cell, placement, head.key);
      if (found !== undefined && this.mayActOn(found.shardId)) return found.shardId;
    }
    return undefined;
  }

  private mayActOn(shardId: string): boolean {
    return this.clock.monotonicMs() < this.ownership.leaseEndMs && this.ownership.shards.has(shardId);
  }

  /** Returns whether the order may run; otherwise it was refused, answered, or waits for the answer of its original. */
  private admitOnce(order: Order, shardId: string): boolean {
    const { head } = order;
    const epoch = head.epoch === '' ? undefined : head.epoch;
    const decision = this.once.admit(
      shardId,
      head.tenant,
      head.idempotencyKey,
      epoch,
      this.clock.monotonicMs(),
    );
    if (decision.kind === 'run') return true;
    if (decision.kind === 'refuse') {
      const fields = { ...decision.error, peer: this.serverId, epoch: this.once.currentEpoch(shardId) };
      order.emit(fields.ran === 'not run' ? { type: 'refused', fields } : { type: 'broken', fields });
      return false;
    }
    this.orders.set(order.orderId, { order, shardId, recorded: false, graceMs: 0 });
    this.hashing.set(order.orderId, decision.record);
    const body = hashBody(order.body, (bodyHash) =>
      this.post({ type: 'bodyHashed', orderId: order.orderId, bodyHash }),
    );
    if (!Buffer.isBuffer(body)) body.resume();
    return false;
  }

  private handleBodyHash(orderId: string, bodyHash: string): void {
    const owned = this.orders.get(orderId);
    if (owned === undefined) return;
    const { order, shardId } = owned;
    if (!this.hashing.delete(orderId)) {
      this.once.setBodyHash(shardId, order.head.tenant, order.head.idempotencyKey, bodyHash);
      return;
    }
    this.orders.delete(orderId);
    this.answerRepeat({ order, bodyHash }, shardId);
  }

  private answerRepeat(repeat: Repeat, shardId: string): void {
    const { order, bodyHash } = repeat;
    const { tenant, idempotencyKey } = order.head;
    const found = this.once.lookUp(shardId, tenant, idempotencyKey);
    if (found.kind === 'absent') {
      order.emit({ type: 'refused', fields: this.createFault('originalNotRun', 'once', 503, 0) });
      return;
    }
    if (found.kind === 'unknown') {
      order.emit({ type: 'broken', fields: { ...found.error, peer: this.serverId } });
      return;
    }
    const comparison = compareBody(found.record, bodyHash);
    if (comparison.kind === 'refuse') {
      const fields = { ...comparison.error, peer: this.serverId };
      order.emit(fields.ran === 'not run' ? { type: 'refused', fields } : { type: 'broken', fields });
      return;
    }
    if (found.kind === 'answered') {
      this.replay(order, found.record, shardId);
      return;
    }
    const key = formatRepeatKey(shardId, tenant, idempotencyKey);
    this.repeats.set(key, [...(this.repeats.get(key) ?? []), repeat]);
  }

  private replay(order: Order, record: OnceRecord, shardId: string): void {
    const body = Buffer.from(record.answer, 'base64');
    const head = {
      status: record.status,
      headers: { 'content-type': record.contentType, 'content-length': String(body.length) },
      serverId: this.serverId,
      owner: '',
      epoch: this.once.hasShard(shardId) ? this.once.currentEpoch(shardId) : '',
    };
    order.emit({ type: 'head', head, flow: { pause: () => undefined, resume: () => undefined } });
    order.emit({ type: 'data', chunk: body });
    order.emit({ type: 'end' });
  }

  private enqueue(order: Order): void {
    const nowMs = this.clock.monotonicMs();
    const verdict = this.checkQuarantine(order, nowMs);
    if (verdict.kind === 'hold') {
      this.end(order.orderId, { type: 'refused', fields: { ...verdict.error, peer: this.serverId } });
      return;
    }
    const { priority, share } = order.entry.limits;
    const request = {
      id: order.orderId,
      tenant: order.head.tenant,
      class: order.head.class,
      priority,
      share,
      deadlineMs: order.deadlineAtMs,
      exclusive: verdict.kind === 'alone',
    };
    this.apply(this.queue.arrive(request, nowMs));
  }

  private checkQuarantine(order: Order, nowMs: number): ReturnType<Quarantine['check']> {
    if (this.quarantine.size === 0) return { kind: 'run' };
    return this.quarantine.check(fingerprintOf(order), nowMs);
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
    if (shardId !== '' && !this.mayActOn(shardId)) {
      this.end(orderId, {
        type: 'refused',
        fields: this.createFault('leaseExpired', 'own', 503, MOVE_RETRY_MS),
      });
      this.apply(this.queue.finish(orderId, this.clock.monotonicMs(), false));
      return;
    }
    if (recorded) this.captures.set(orderId, new AnswerCapture(MAX_ANSWER_BYTES));
    const body = recorded
      ? hashBody(order.body, (bodyHash) => this.post({ type: 'bodyHashed', orderId, bodyHash }))
      : order.body;
    const token = shardId === '' ? 0 : (this.ownership.shards.get(shardId)?.token ?? 0);
    const deadlineAtMs = this.capDeadline(owned);
    this.postToBackend({
      type: 'run',
      backendOrder: { order, body, deadlineAtMs, epoch: this.ownership.epoch, token },
    });
  }

  /** A backend server that does not check grants stops by itself at the deadline, so that is capped at the lease end. */
  private capDeadline({ order, shardId, graceMs }: OwnedOrder): number {
    if (shardId === '' || this.facts?.checksToken === true) return order.deadlineAtMs;
    return Math.min(order.deadlineAtMs, this.ownership.leaseEndMs + graceMs);
  }

  private handleEvent(orderId: string, event: OrderEvent): void {
    const owned = this.orders.get(orderId);
    if (owned === undefined) return;
    const capture = this.captures.get(orderId);
    if (event.type === 'head') {
      const epoch =
        owned.shardId !== '' && this.once.hasShard(owned.shardId)
          ? this.once.currentEpoch(owned.shardId)
          : '';
      const head = { ...event.head, epoch };
      capture?.setHead(head);
      owned.order.emit({ ...event, head });
      return;
    }
    if (event.type === 'data') {
      capture?.add(event.chunk);
      owned.order.emit(event);
      return;
    }
    this.end(orderId, event);
  }

  /** Ends an order with its last event, and answers the repeats that wait for it. */
  private end(orderId: string, event: Exclude<OrderEvent, { readonly type: 'head' | 'data' }>): void {
    const owned = this.orders.get(orderId);
    if (owned === undefined) return;
    this.orders.delete(orderId);
    if (owned.recorded) this.recordEnd(owned, event);
    owned.order.emit(event);
    this.finishRelease(owned.shardId);
  }

  private recordEnd(owned: OwnedOrder, event: Exclude<OrderEvent, { readonly type: 'head' | 'data' }>): void {
    const { order, shardId } = owned;
    const { tenant, idempotencyKey } = order.head;
    const capture = this.captures.get(order.orderId);
    this.captures.delete(order.orderId);
    if (event.type === 'end' && capture !== undefined)
      this.once.complete(shardId, tenant, idempotencyKey, capture.finish());
    else this.once.fail(shardId, tenant, idempotencyKey, event.type === 'refused' ? 'not run' : 'unknown');
    const key = formatRepeatKey(shardId, tenant, idempotencyKey);
    const waiting = this.repeats.get(key) ?? [];
    this.repeats.delete(key);
    for (const repeat of waiting) this.answerRepeat(repeat, shardId);
  }

  private handleDone(orderId: string, outcome: BackendOutcome): void {
    const nowMs = this.clock.monotonicMs();
    const running = this.queue.runningCount;
    const owned = this.orders.get(orderId);
    if (outcome.kind === 'lost' && owned !== undefined) this.noteLost(owned.order, nowMs);
    this.slowStart.observe(
      {
        kind: toSampleKind(outcome.kind),
        startedMs: nowMs - outcome.serviceMs,
        latencyMs: outcome.serviceMs,
        running,
      },
      nowMs,
    );
    this.apply(this.queue.finish(orderId, nowMs, outcome.kind === 'answered'));
    this.apply(this.queue.setLimit(this.currentLimit(), nowMs));
    this.finishDrain();
  }

  private noteLost(order: Order, nowMs: number): void {
    this.lost = [
      ...this.lost.filter((other) => nowMs - other.atMs < DEATH_WINDOW_MS),
      { order, atMs: nowMs },
    ];
  }

  private applyFacts(facts: BackendFacts | undefined): void {
    const nowMs = this.clock.monotonicMs();
    const before = this.facts;
    this.facts = facts;
    if (before !== undefined && before.incarnation !== facts?.incarnation)
      this.markLost(before.incarnation, nowMs);
    if (facts !== undefined) {
      if (before === undefined) this.slowStart = new SlowStart(facts.slots);
      this.slowStart.announce(facts.incarnation, facts.slots, nowMs);
      if (facts.leaving && this.queue.state === 'serving') this.apply(this.queue.drain());
      if (!facts.leaving && this.queue.state !== 'serving' && this.drained === undefined) this.queue.resume();
    }
    this.apply(this.queue.setLimit(this.currentLimit(), nowMs));
    if (before?.incarnation !== facts?.incarnation || before?.leaving !== facts?.leaving)
      this.listener.onBackend(facts);
  }

  /** Marks the orders that were in flight when the backend server died. */
  private markLost(incarnation: string, nowMs: number): void {
    const recent = this.lost.filter(({ atMs }) => nowMs - atMs < DEATH_WINDOW_MS + TICK_MS);
    this.lost = [];
    if (recent.length === 0) return;
    const marks = this.quarantine.mark(
      recent.map(({ order }) => fingerprintOf(order)),
      `${this.serverId}/${incarnation}`,
      nowMs,
    );
    this.logger.log('backendDied', { step: 'quarantine', peer: this.serverId, inFlight: recent.length });
    this.listener.onMarks(marks);
  }

  private currentLimit(): number {
    if (this.facts === undefined) return 1;
    return Math.min(this.facts.slots, this.slowStart.limit);
  }

  private cancel(orderId: string): void {
    const owned = this.orders.get(orderId);
    if (owned === undefined) return;
    if (this.queue.cancel(orderId)) {
      this.end(orderId, { type: 'refused', fields: this.createFault('callerGone', 'queue', 499, 0) });
      return;
    }
    // The answer of a non-repeatable order serves the repeats of its id, so the order goes on.
    if (!owned.recorded) this.postToBackend({ type: 'cancel', orderId });
  }

  private applyOwnership(update: OwnershipUpdate): void {
    const isExtended = update.leaseEndMs > this.ownership.leaseEndMs || update.epoch !== this.ownership.epoch;
    const isSameMap = update.shards === this.ownership.shards;
    this.ownership = update;
    if (isExtended) this.postToBackend({ type: 'grant', epoch: update.epoch, leaseEndMs: update.leaseEndMs });
    if (isSameMap) return;
    for (const [shardId, { token }] of update.shards) this.openShard(shardId, token);
    for (const shardId of [...this.releases.keys()])
      if (!update.shards.has(shardId)) this.releases.delete(shardId);
  }

  /**
   * Records of a shard are kept while it is absent from an update and comes back with the same token, as nobody else can
   * have owned it meanwhile; ids of a shard that was reassigned are unknown unless they were handed over.
   */
  private openShard(shardId: string, token: number): void {
    const adopted = this.adopted.get(shardId);
    const released = this.released.get(shardId);
    this.adopted.delete(shardId);
    if (released !== undefined && !this.releases.has(shardId)) {
      this.released.delete(shardId);
      if (released.token === token) {
        this.once.restoreShard(released);
        return;
      }
    }
    if (this.releases.has(shardId)) return;
    if (adopted !== undefined && adopted.token < token) this.once.adoptShard(adopted, token);
    else this.once.openShard(shardId, token);
  }

  private release(request: ReleaseRequest): void {
    const { shardId } = request;
    this.releases.set(shardId, request);
    for (const { order, shardId: other } of [...this.orders.values()]) {
      if (other !== shardId || !this.queue.cancel(order.orderId)) continue;
      this.end(order.orderId, {
        type: 'refused',
        fields: this.createFault('shardMoving', 'move', 503, MOVE_RETRY_MS),
      });
    }
    this.finishRelease(shardId);
  }

  /** Answers a release once no order of the shard runs. */
  private finishRelease(shardId: string): void {
    const request = this.releases.get(shardId);
    if (request === undefined || this.released.has(shardId)) return;
    for (const owned of this.orders.values()) if (owned.shardId === shardId) return;
    if (!this.once.hasShard(shardId))
      this.once.openShard(shardId, this.ownership.shards.get(shardId)?.token ?? 0);
    const records = this.once.closeShard(shardId);
    this.released.set(shardId, records);
    request.reply(records);
  }

  private lift(fingerprint: string): boolean {
    const marks = this.quarantine.clear(fingerprint, this.clock.monotonicMs());
    if (marks.length > 0) this.listener.onMarks(marks);
    return marks.length > 0;
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
    this.once.turnWindows(nowMs);
    this.quarantine.expire(nowMs);
    this.listener.onLoad(new Map(this.shardCounts));
    this.shardCounts.clear();
  }

  private scheduleTick(): void {
    this.cancelTick = this.clock.schedule(TICK_MS, () => {
      this.post({ type: 'tick' });
      this.scheduleTick();
    });
  }

  private report(): OwnerReport {
    return {
      running: this.queue.runningCount,
      waiting: this.queue.waitingCount,
      limit: this.currentLimit(),
      slowStart: this.slowStart.state,
      backend: this.facts,
      ownedShards: this.ownership.shards.size,
      leaseEndMs: this.ownership.leaseEndMs,
      onceRecords: this.once.size,
    };
  }

  private createFault(
    code: string,
    step: RouterErrorFields['step'],
    status: number,
    retryAfterMs: number,
  ): RouterErrorFields {
    return { code, step, peer: this.serverId, ran: 'not run', status, retryAfterMs };
  }
}

function toSampleKind(kind: BackendOutcome['kind']): 'answered' | 'shed' | 'refused' | 'failed' {
  if (kind === 'answered' || kind === 'shed') return kind;
  return kind === 'unreachable' ? 'refused' : 'failed';
}

function fingerprintOf(order: Order): string {
  return createFingerprint(order.head, Buffer.isBuffer(order.body) ? order.body.toString('base64') : '');
}

function formatRepeatKey(shardId: string, tenant: string, id: string): string {
  return [shardId, tenant, id].join('\n');
}
