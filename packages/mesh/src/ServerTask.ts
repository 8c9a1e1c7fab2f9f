import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import { applyViewToServer } from '#mesh/ApplyViewToServer.js';
import { canEnd } from '#mesh/CanEnd.js';
import { checkAdmission } from '#mesh/CheckAdmission.js';
import { CrashRecord } from '#mesh/CrashRecord.js';
import { fitsBeforeTarget } from '#mesh/FitsBeforeTarget.js';
import { formatBackendRequest } from '#mesh/FormatBackendRequest.js';
import type { GrantedKeys } from '#mesh/GrantedKeys.js';
import { initialServerState } from '#mesh/InitialServerState.js';
import { ServiceTimesByKind } from '#mesh/ServiceTimesByKind.js';
import { LoadMeter } from '#mesh/LoadMeter.js';
import type { LoadReport } from '#mesh/LoadReport.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import { BackendRequestTable } from '#mesh/BackendRequestTable.js';
import { BackendRequestQueue } from '#mesh/BackendRequestQueue.js';
import { BackendRequestOutcomes } from '#mesh/BackendRequestOutcomes.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { Presence } from '#mesh/Presence.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { RunningBackendRequest } from '#mesh/RunningBackendRequest.js';
import { RunningBackendRequests } from '#mesh/RunningBackendRequests.js';
import type { ServerLink } from '#mesh/ServerLink.js';
import { ServerLinks } from '#mesh/ServerLinks.js';
import type { ServerLinkSignal } from '#mesh/ServerLinkSignal.js';
import type { ServerMessage } from '#mesh/ServerMessage.js';
import type { ServerOptions } from '#mesh/ServerOptions.js';
import { StartRule } from '#mesh/StartRule.js';

const TICK_MS = 20;

/** Time of an order's due time that is left for the way back to its caller, in milliseconds. */
const RETURN_MS = 5;

/** Part of the target latency that an order waits for its key to be granted to the server. */
const GRANT_WAIT_PART = 0.6;

/** Orders that may wait, in multiples of the slots. */
const QUEUE_FACTOR = 12;

/** Connections that failed to open in a row before waiting orders are refused. */
const FAILED_OPENINGS = 2;

/** A backend server that answers no order for this time may be gone, in milliseconds. */
const SILENCE_MS = 700;

/** Runs orders at the backend server beside this daemon. Owns its connections, the queue before it and its slots. */
export class ServerTask extends Task<ServerMessage> {
  private readonly options: ServerOptions;
  private readonly links: ServerLinks;
  private readonly queue = new BackendRequestQueue();
  private readonly ledger = new BackendRequestTable();
  private readonly times = new ServiceTimesByKind();
  private readonly meter = new LoadMeter();
  private readonly starts: StartRule;
  private readonly crashes: CrashRecord;
  private readonly running = new RunningBackendRequests();
  private readonly outcomes: BackendRequestOutcomes;
  private failedOpenings = 0;
  private cancelTick: Cancel | undefined;
  private state = initialServerState;

  public constructor(options: ServerOptions) {
    super();
    this.options = options;
    this.starts = new StartRule(options);
    this.crashes = new CrashRecord(options.logger, options.onMarks);
    this.outcomes = new BackendRequestOutcomes({
      options,
      ledger: this.ledger,
      times: this.times,
      meter: this.meter,
      crashes: this.crashes,
      presence: () => this.state.presence,
      report: () => this.report(),
    });
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

  private accept(order: BackendRequest, reply: BackendResultCallback): void {
    const { id } = order.request;
    const isSentAgain = order.resumes !== '';
    // A refusal speaks of its own offer only; the one that is sent again may be a later one.
    if (this.ledger.has(id) && !this.ledger.wasRefused(id) && (isSentAgain || !order.idempotent)) {
      this.ledger.join(id, reply);
      return;
    }
    if (isSentAgain && order.resumes !== this.options.processId) {
      reply({ type: 'lost', code: 'peerRestarted', load: undefined });
      return;
    }
    if (!order.idempotent && this.ledger.isLate(id, order.copy)) {
      reply(this.outcomes.refuse(order, 'tooLate', false));
      return;
    }
    const nowMs = this.now();
    if (isSentAgain) this.ledger.noteSentAgain(id, order.copy, nowMs);
    const isShort = this.starts.noteArrival(order, nowMs);
    const queued = { order, queuedMs: nowMs, serviceMs: this.times.estimateMs(order), isShort };
    const admission = checkAdmission(order, this.state, this.options, nowMs);
    // Demand counts also where there is no room for it: what a full server runs hides how much its keys ask for.
    if (admission === undefined && order.request.key !== undefined)
      this.options.onDemand(order.request.key, queued.serviceMs);
    const code = admission ?? this.checkRoom(queued, nowMs);
    if (code !== undefined) {
      reply(this.outcomes.refuse(order, code, false));
      return;
    }
    this.ledger.open(id, reply, nowMs);
    this.queue.add(queued);
  }

  private checkRoom(queued: QueuedBackendRequest, nowMs: number): RefusalCode | undefined {
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
    if (presence.state === 'absent') this.outcomes.refuseAll(this.queue.removeAll(), 'noServer');
  }

  /** Orders that wait for keys on the move go back to their entry daemons, which know the next owner first. */
  private noteKeys(keys: GrantedKeys): void {
    this.state = { ...this.state, keys };
    if (keys.moving.length > 0) this.outcomes.refuseAll(this.queue.removeKeys(keys.moving), 'moving');
  }

  private noteSignal(link: ServerLink, signal: ServerLinkSignal): void {
    switch (signal.type) {
      case 'connected':
        this.failedOpenings = 0;
        return;
      case 'answered': {
        if (!signal.reusable) this.links.remove(link);
        const running = this.running.take(link, signal.requestId);
        if (running !== undefined) this.outcomes.finish(running, signal.answer);
        return;
      }
      case 'broken': {
        this.links.remove(link);
        const running = this.running.take(link, signal.requestId);
        if (running === undefined) return;
        this.outcomes.lose(running, signal.malformed ? 'badAnswer' : 'connectionLost', signal.reason);
        // Tells a crash from the loss of one connection.
        if (!signal.malformed && this.links.connecting === 0) this.links.open(this.state.presence);
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

  private noteFailedOpening(incarnation: string, refused: boolean): void {
    this.options.onEvidence({ kind: refused ? 'refused' : 'silent', incarnation });
    if (refused) this.crashes.noteCrash(incarnation, this.now());
    if (incarnation !== this.state.presence.incarnation) return;
    this.failedOpenings += 1;
    if (refused || this.failedOpenings >= FAILED_OPENINGS)
      this.outcomes.refuseAll(this.queue.removeAll(), 'noServer');
  }

  private tick(): void {
    this.cancelTick = undefined;
    const nowMs = this.now();
    this.ledger.expire(nowMs);
    this.outcomes.refuseAll(this.queue.removeLate(this.state.presence.slots, RETURN_MS, nowMs), 'tooLate');
    const unheld = this.queue.removeHopeless(
      ({ order, queuedMs }) =>
        this.state.keyed &&
        nowMs - queuedMs > order.targetLatencyMs * GRANT_WAIT_PART &&
        !this.starts.isGranted(order, this.state),
    );
    this.outcomes.refuseAll(unheld, 'notGranted');
    this.options.onLoad(this.report(), this.meter.baseSlowdown);
    this.checkSilence(nowMs);
    for (const running of this.running.list()) {
      if (nowMs > running.order.dueMs) this.giveUp(running, nowMs);
    }
  }

  /** Reports a backend server that answers none of its orders; its announcements decide whether it is gone. */
  private checkSilence(nowMs: number): void {
    const { oldestMs } = this.running;
    if (nowMs - Math.max(oldestMs, this.outcomes.answeredMs) < SILENCE_MS || !Number.isFinite(oldestMs))
      return;
    this.options.onEvidence({ kind: 'silent', incarnation: this.state.presence.incarnation });
  }

  private giveUp(running: RunningBackendRequest, nowMs: number): void {
    const { id } = running.order.request;
    this.running.remove(id);
    running.link.destroy();
    this.ledger.close(id, { type: 'lost', code: 'timeout', load: this.report() }, nowMs);
  }

  private dispatch(): void {
    for (;;) {
      if (this.queue.size === 0) return;
      if (!this.links.hasIdle) {
        this.openLinks();
        return;
      }
      const nowMs = this.now();
      const mayStart = (each: QueuedBackendRequest): boolean =>
        this.starts.allows(each, this.state, this.running.size, nowMs);
      const queued = this.queue.take(
        (each) => mayStart(each) && this.links.findFor(each.order.request.id) !== undefined,
      );
      if (queued === undefined) {
        if (this.queue.some(mayStart)) this.openAnother();
        return;
      }
      const link = this.links.findFor(queued.order.request.id);
      if (link !== undefined) this.start(queued, link, nowMs);
    }
  }

  /** Opens a connection for an order whose id all idle ones have carried. */
  private openAnother(): void {
    const { presence } = this.state;
    if (this.links.connecting > 0 || presence.state === 'absent' || presence.address === '') return;
    if (this.links.size >= this.linkLimit) this.links.closeIdle();
    this.links.open(presence);
  }

  private openLinks(): void {
    const { presence } = this.state;
    if (presence.state === 'absent' || presence.address === '') return;
    const wanted = Math.min(this.queue.size, presence.slots - this.running.size);
    while (this.links.connecting < wanted && this.links.size < this.linkLimit) this.links.open(presence);
  }

  private get linkLimit(): number {
    const { presence, maxConnections } = this.state;
    return Math.min(maxConnections, presence.slots + 2);
  }

  private start(queued: QueuedBackendRequest, link: ServerLink, nowMs: number): void {
    const { order, serviceMs, queuedMs } = queued;
    const { request } = order;
    const leftMs = order.dueMs - RETURN_MS - nowMs;
    if (!canEnd(order, nowMs + RETURN_MS, serviceMs)) {
      this.outcomes.refuseAll([queued], 'tooLate');
      return;
    }
    this.starts.noteStart(nowMs);
    this.links.touch(link);
    this.running.add({ order, link, sentMs: nowMs, expectedMs: serviceMs });
    const { instanceId } = this.state.presence;
    const head = formatBackendRequest(order, instanceId, leftMs, this.options.headers);
    link.send({ requestId: request.id, isHead: request.method === 'HEAD' }, head, request.body);
    if (nowMs - queuedMs > order.targetLatencyMs) {
      this.options.logger.log('orderWaited', {
        step: 'queue',
        id: request.id,
        waitedMs: Math.round(nowMs - queuedMs),
      });
    }
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
