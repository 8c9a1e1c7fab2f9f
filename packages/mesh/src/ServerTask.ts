import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import { applyViewToServer } from '#mesh/ApplyViewToServer.js';
import type { BackendAnswer } from '#mesh/BackendAnswer.js';
import { canEnd } from '#mesh/CanEnd.js';
import { checkAdmission } from '#mesh/CheckAdmission.js';
import { classifyAnswer } from '#mesh/ClassifyAnswer.js';
import { ColdLimit } from '#mesh/ColdLimit.js';
import { CrashRecord } from '#mesh/CrashRecord.js';
import { findHeader } from '#mesh/FindHeader.js';
import { fitsBeforeTarget } from '#mesh/FitsBeforeTarget.js';
import { createRefusal } from '#mesh/CreateRefusal.js';
import { formatOrder } from '#mesh/FormatOrder.js';
import type { GrantedKeys } from '#mesh/GrantedKeys.js';
import { hasToEnd } from '#mesh/HasToEnd.js';
import { holdsKey } from '#mesh/HoldsKey.js';
import { initialServerState } from '#mesh/InitialServerState.js';
import { isCold } from '#mesh/IsCold.js';
import { KindTimes } from '#mesh/KindTimes.js';
import { LoadMeter } from '#mesh/LoadMeter.js';
import type { LoadReport } from '#mesh/LoadReport.js';
import type { LossCode } from '#mesh/LossCode.js';
import type { Order } from '#mesh/Order.js';
import { OrderLedger } from '#mesh/OrderLedger.js';
import { OrderQueue } from '#mesh/OrderQueue.js';
import type { OrderReply } from '#mesh/OrderReply.js';
import type { OrderResult } from '#mesh/OrderResult.js';
import { parseLoad } from '#mesh/ParseLoad.js';
import type { Presence } from '#mesh/Presence.js';
import type { QueuedOrder } from '#mesh/QueuedOrder.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { RunningOrder } from '#mesh/RunningOrder.js';
import { RunningOrders } from '#mesh/RunningOrders.js';
import type { ServerLink } from '#mesh/ServerLink.js';
import { ServerLinks } from '#mesh/ServerLinks.js';
import type { ServerLinkSignal } from '#mesh/ServerLinkSignal.js';
import type { ServerMessage } from '#mesh/ServerMessage.js';
import type { ServerOptions } from '#mesh/ServerOptions.js';
import { ShortKinds } from '#mesh/ShortKinds.js';

const TICK_MS = 20;

/** Time of an order's due time that is left for the way back to its caller, in milliseconds. */
const RETURN_MS = 5;

/** Part of the target latency that an order waits for its key to be granted to the server. */
const GRANT_WAIT_PART = 0.6;

/** Orders that may wait, in multiples of the slots. */
const QUEUE_FACTOR = 12;

/** Time for which a short order keeps one slot free for others of its kind, in milliseconds. */
const SHORT_KEEP_MS = 5_000;

/** Connections that failed to open in a row before waiting orders are refused. */
const FAILED_OPENINGS = 2;

/** A backend server that answers no order for this time may be gone, in milliseconds. */
const SILENCE_MS = 700;

/** Runs orders at the backend server beside this daemon. Owns its connections, the queue before it and its slots. */
export class ServerTask extends Task<ServerMessage> {
  private readonly options: ServerOptions;
  private readonly links: ServerLinks;
  private readonly queue = new OrderQueue();
  private readonly ledger = new OrderLedger();
  private readonly times = new KindTimes();
  private readonly meter = new LoadMeter();
  private readonly cold = new ColdLimit();
  private readonly crashes: CrashRecord;
  private readonly running = new RunningOrders();
  private answeredMs = -Infinity;
  private failedOpenings = 0;
  private readonly kinds = new ShortKinds();
  private shortUntilMs = 0;
  private cancelTick: Cancel | undefined;
  private state = initialServerState;

  public constructor(options: ServerOptions) {
    super();
    this.options = options;
    this.crashes = new CrashRecord(options.logger, options.onMarks);
    this.links = new ServerLinks(options.headers.requestId, (link, signal) =>
      this.post({ type: 'signal', link, signal }),
    );
  }

  public override stop(): void {
    super.stop();
    this.cancelTick?.();
    this.links.closeAll();
  }

  /** Number of orders that wait or run. */
  public get load(): number {
    return this.queue.size + this.running.size;
  }

  protected override receive(message: ServerMessage): void {
    switch (message.type) {
      case 'order':
        this.accept(message.order, message.reply);
        break;
      case 'cancel':
        this.cancel(message.id);
        break;
      case 'presence':
        this.notePresence(message.presence);
        break;
      case 'granted':
        this.noteKeys(message.keys);
        break;
      case 'view':
        this.state = applyViewToServer(this.state, message.view, this.options.place, this.now());
        break;
      case 'marks':
        this.crashes.merge(message.marks, this.now());
        break;
      case 'signal':
        this.noteSignal(message.link, message.signal);
        break;
      case 'stopping':
        this.state = { ...this.state, stopping: true };
        break;
      case 'probe':
        if (this.state.presence.address !== '') this.links.open(this.state.presence);
        break;
      case 'tick':
        this.tick();
    }
    this.dispatch();
    this.scheduleTick();
  }

  private accept(order: Order, reply: OrderReply): void {
    const { id } = order.request;
    const isRepeat = order.resumes !== '' || (!order.idempotent && !this.ledger.wasRefused(id));
    if (this.ledger.has(id) && isRepeat) {
      this.ledger.join(id, reply);
      return;
    }
    if (order.resumes !== '' && order.resumes !== this.options.processId) {
      reply({ type: 'lost', code: 'peerRestarted', load: undefined });
      return;
    }
    const nowMs = this.now();
    const isShort = this.kinds.note(order.targetLatencyMs);
    if (isShort) this.shortUntilMs = nowMs + SHORT_KEEP_MS;
    const queued = { order, queuedMs: nowMs, serviceMs: this.times.expect(order), isShort };
    const admission = checkAdmission(order, this.state, this.options, nowMs);
    // Demand counts also where there is no room for it: what a full server runs hides how much its keys ask for.
    if (admission === undefined && order.request.key !== undefined)
      this.options.onDemand(order.request.key, queued.serviceMs);
    const code = admission ?? this.checkRoom(queued, nowMs);
    if (code !== undefined) {
      reply(this.refuse(order, code, false));
      return;
    }
    this.ledger.open(id, reply, nowMs);
    this.queue.add(queued);
  }

  private checkRoom(queued: QueuedOrder, nowMs: number): RefusalCode | undefined {
    const { order, isShort } = queued;
    const { slots } = this.state.presence;
    if (this.crashes.isHeld(order, nowMs)) return 'quarantined';
    if (this.queue.size >= slots * QUEUE_FACTOR) return 'full';
    const waitMs = this.running.waitMs(this.queue.workAheadMs(order, isShort), slots, nowMs);
    return fitsBeforeTarget(queued, waitMs, order.dueMs - RETURN_MS, nowMs) ? undefined : 'full';
  }

  private cancel(id: string): void {
    const nowMs = this.now();
    if (this.queue.remove(id) !== undefined)
      this.ledger.close(
        id,
        { type: 'refused', code: 'tooLate', retryAfterMs: 0, load: undefined, arrived: false },
        nowMs,
      );
    const running = this.running.find(id);
    if (running?.order.idempotent !== true) return;
    this.running.remove(id);
    running.link.destroy();
    this.ledger.close(id, { type: 'lost', code: 'cancelled', load: undefined }, nowMs);
  }

  private notePresence(presence: Presence): void {
    const before = this.state.presence;
    this.state = { ...this.state, presence };
    if (before.incarnation === presence.incarnation && presence.state !== 'absent') return;
    this.failedOpenings = 0;
    if (before.incarnation !== presence.incarnation) this.links.closeAll();
    if (presence.state === 'absent') this.refuseAll(this.queue.removeAll(), 'noServer');
  }

  /** Orders that wait for keys on the move go back to their entry daemons, which know the next owner first. */
  private noteKeys(keys: GrantedKeys): void {
    this.state = { ...this.state, keys };
    if (keys.moving.length > 0) this.refuseAll(this.queue.removeKeys(keys.moving), 'moving');
  }

  private noteSignal(link: ServerLink, signal: ServerLinkSignal): void {
    switch (signal.type) {
      case 'connected':
        this.failedOpenings = 0;
        return;
      case 'answered': {
        if (!signal.reusable) this.links.remove(link);
        const running = this.running.take(link);
        if (running !== undefined) this.finish(running, signal.answer);
        return;
      }
      case 'broken': {
        this.links.remove(link);
        const running = this.running.take(link);
        if (running !== undefined)
          this.lose(running, signal.malformed ? 'badAnswer' : 'connectionLost', signal.reason);
        return;
      }
      case 'closed':
        this.links.remove(link);
        if (signal.neverOpened) this.noteFailedOpening(link.incarnation, signal.refused);
        return;
      case 'skipped':
        this.options.logger.log('answerSkipped', { step: 'backend', peer: this.state.presence.address });
    }
  }

  private finish(running: RunningOrder, answer: BackendAnswer): void {
    const { order, sentMs } = running;
    const nowMs = this.now();
    this.answeredMs = nowMs;
    const kind = classifyAnswer(answer, this.options.headers);
    const reported = parseLoad(findHeader(answer.headers, this.options.headers.load));
    if (reported !== undefined) this.meter.note(reported, nowMs);
    if (kind === 'shed' || kind === 'misdirected') {
      this.end(order, this.refuse(order, kind, true));
      return;
    }
    const tookMs = nowMs - sentMs;
    this.times.add(order, tookMs);
    if (kind === 'invalid') {
      this.lose(running, 'badAnswer', `status ${answer.status} is not a valid answer`);
      return;
    }
    this.crashes.noteRun(order, nowMs);
    this.end(order, { type: 'answered', answer, load: this.report() });
  }

  private lose({ order, sentMs }: RunningOrder, code: LossCode, reason: string): void {
    const nowMs = this.now();
    this.options.logger.log('orderLost', {
      step: 'backend',
      peer: this.state.presence.address,
      id: order.request.id,
      code,
      reason,
      ranMs: Math.round(nowMs - sentMs),
      incarnation: this.state.presence.incarnation,
    });
    if (code === 'connectionLost') {
      this.crashes.noteLoss(order, nowMs);
      // Tells a crash from the loss of one connection.
      if (this.links.connecting === 0) this.links.open(this.state.presence);
    }
    this.end(order, { type: 'lost', code, load: this.report() });
  }

  private noteFailedOpening(incarnation: string, refused: boolean): void {
    this.options.onEvidence({ kind: refused ? 'refused' : 'silent', incarnation });
    if (refused) this.crashes.noteCrash(incarnation, this.now());
    if (incarnation !== this.state.presence.incarnation) return;
    this.failedOpenings += 1;
    if (refused || this.failedOpenings >= FAILED_OPENINGS) this.refuseAll(this.queue.removeAll(), 'noServer');
  }

  private refuseAll(waiting: readonly QueuedOrder[], code: RefusalCode): void {
    for (const { order } of waiting) this.end(order, this.refuse(order, code, false));
  }

  private tick(): void {
    this.cancelTick = undefined;
    const nowMs = this.now();
    this.ledger.expire(nowMs);
    this.refuseAll(this.queue.removeLate(this.state.presence.slots, RETURN_MS, nowMs), 'tooLate');
    const unheld = this.queue.removeHopeless(
      ({ order, queuedMs }) =>
        this.state.keyed && nowMs - queuedMs > order.targetLatencyMs * GRANT_WAIT_PART && !this.holds(order),
    );
    this.refuseAll(unheld, 'notGranted');
    this.options.onLoad(this.report(), this.meter.baseSlowdown);
    this.checkSilence(nowMs);
    for (const running of this.running.list()) {
      if (nowMs > running.order.dueMs) this.giveUp(running, nowMs);
    }
  }

  /** Reports a backend server that answers none of its orders; its announcements decide whether it is gone. */
  private checkSilence(nowMs: number): void {
    const { oldestMs } = this.running;
    if (nowMs - Math.max(oldestMs, this.answeredMs) < SILENCE_MS || !Number.isFinite(oldestMs)) return;
    this.options.onEvidence({ kind: 'silent', incarnation: this.state.presence.incarnation });
  }

  private giveUp(running: RunningOrder, nowMs: number): void {
    const { id } = running.order.request;
    this.running.remove(id);
    running.link.destroy();
    this.ledger.close(id, { type: 'lost', code: 'timeout', load: this.report() }, nowMs);
  }

  private dispatch(): void {
    for (;;) {
      if (this.queue.size === 0) return;
      const nowMs = this.now();
      const mayStart = (queued: QueuedOrder): boolean => this.mayStart(queued, nowMs);
      const link = this.links.findIdle();
      if (link === undefined) {
        this.openLinks();
        return;
      }
      const queued = this.queue.take(mayStart);
      if (queued === undefined) return;
      this.start(queued, link, nowMs);
    }
  }

  private mayStart({ order, isShort }: QueuedOrder, nowMs: number): boolean {
    const { presence, keyed, coldPerSecond } = this.state;
    const keepsSlot = !isShort && nowMs < this.shortUntilMs && presence.slots > 2;
    if (this.running.size >= presence.slots - (keepsSlot ? 1 : 0)) return false;
    if (keyed && !this.holds(order)) return false;
    if (hasToEnd(this.state, this.options, nowMs)) return false;
    return !isCold(this.state, nowMs) || this.cold.allows(coldPerSecond, nowMs);
  }

  private holds({ request }: Order): boolean {
    return holdsKey(this.state, request.key, this.options.elapsed.nowMs());
  }

  private openLinks(): void {
    const { presence, maxConnections } = this.state;
    if (presence.state === 'absent' || presence.address === '') return;
    const wanted = Math.min(this.queue.size, presence.slots - this.running.size);
    const limit = Math.min(maxConnections, presence.slots + 2);
    while (this.links.connecting < wanted && this.links.size < limit) this.links.open(presence);
  }

  private start({ order, serviceMs, queuedMs }: QueuedOrder, link: ServerLink, nowMs: number): void {
    const { request } = order;
    const leftMs = order.dueMs - RETURN_MS - nowMs;
    if (!canEnd(order, nowMs + RETURN_MS, serviceMs)) {
      this.end(order, this.refuse(order, 'tooLate', false));
      return;
    }
    this.cold.note(nowMs);
    this.links.touch(link);
    this.running.add({ order, link, sentMs: nowMs, expectedMs: serviceMs });
    const { instanceId } = this.state.presence;
    const head = formatOrder(order, instanceId, leftMs, this.options.headers);
    link.send(request.id, request.method === 'HEAD', head, request.body);
    if (nowMs - queuedMs > order.targetLatencyMs) {
      this.options.logger.log('orderWaited', {
        step: 'queue',
        id: request.id,
        waitedMs: Math.round(nowMs - queuedMs),
      });
    }
  }

  private end(order: Order, result: OrderResult): void {
    this.ledger.close(order.request.id, result, this.now());
  }

  private refuse(order: Order, code: RefusalCode, arrived: boolean): OrderResult {
    const load = this.report();
    this.options.logger.log('orderRefused', {
      step: 'queue',
      id: order.request.id,
      code,
      running: load.running,
      queued: load.queued,
      waitMs: Math.round(load.waitMs),
      leftMs: Math.round(order.dueMs - this.now()),
    });
    return createRefusal(code, load, arrived);
  }

  private report(): LoadReport {
    const { slots } = this.state.presence;
    return this.meter.report(this.running, this.queue, slots, this.times.meanMs, this.now());
  }

  private scheduleTick(): void {
    if (this.cancelTick !== undefined || this.load === 0) return;
    this.cancelTick = this.options.clock.schedule(TICK_MS, () => this.post({ type: 'tick' }));
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
