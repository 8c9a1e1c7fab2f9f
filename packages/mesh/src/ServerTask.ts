import type { Cancel } from '#core/Cancel.js';
import { scheduleAfterReads } from '#core/ScheduleAfterReads.js';
import { Task } from '#core/Task.js';
import { applyViewToServer } from '#mesh/ApplyViewToServer.js';
import { canEnd } from '#mesh/CanEnd.js';
import { checkAdmission } from '#mesh/CheckAdmission.js';
import { CrashRecord } from '#mesh/CrashRecord.js';
import { OccupiedSlots } from '#overload/OccupiedSlots.js';
import { formatBackendRequest } from '#mesh/FormatBackendRequest.js';
import { formatKind } from '#mesh/FormatKind.js';
import type { GrantedKeys } from '#mesh/GrantedKeys.js';
import { initialServerState } from '#mesh/InitialServerState.js';
import { ServiceTimesByKind } from '#mesh/ServiceTimesByKind.js';
import { LoadMeter } from '#mesh/LoadMeter.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import { BackendRequestTable } from '#mesh/BackendRequestTable.js';
import { BackendRequestOutcomes } from '#mesh/BackendRequestOutcomes.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { Presence } from '#mesh/Presence.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { RunningBackendRequest } from '#mesh/RunningBackendRequest.js';
import { RunningBackendRequests } from '#mesh/RunningBackendRequests.js';
import type { ServerLink } from '#mesh/ServerLink.js';
import { ServerAdmission } from '#mesh/ServerAdmission.js';
import { ServerLinks } from '#mesh/ServerLinks.js';
import type { ServerLinkSignal } from '#mesh/ServerLinkSignal.js';
import type { ServerMessage } from '#mesh/ServerMessage.js';
import type { ServerOptions } from '#mesh/ServerOptions.js';
import { StartRule } from '#mesh/StartRule.js';

const TICK_INTERVAL_MS = 20;

/** Time before a request is due that is reserved for returning its response to the caller's daemon, in milliseconds. */
const RELAY_MARGIN_MS = 5;

/**
 * Time before a request is due that is reserved for returning its refusal, in milliseconds. A later refusal from another
 * region (20 ms one way) arrives when the caller has already got 504, which does not tell that the request has not run.
 */
const REFUSAL_MARGIN_MS = 40;

/** Fraction of the target latency for which a request waits until its key is granted to the server. */
const GRANT_WAIT_FRACTION = 0.6;

/** Number of consecutive failed connection attempts after which queued requests are refused. */
const MAX_FAILED_CONNECTS = 2;

/** Time without any response after which a backend server with running requests is reported silent, in milliseconds. */
const SILENCE_TIMEOUT_MS = 700;

/** Runs requests at the backend server beside this daemon. Owns its connections, its request queue and its slots. */
export class ServerTask extends Task<ServerMessage> {
  private readonly options: ServerOptions;
  private readonly links: ServerLinks;
  private readonly admission = new ServerAdmission();
  private readonly queue = this.admission.queue;
  private readonly requestTable = new BackendRequestTable();
  private readonly serviceTimes = new ServiceTimesByKind();
  private readonly meter = new LoadMeter();
  private readonly startRule: StartRule;
  private readonly crashes: CrashRecord;
  private readonly running = new RunningBackendRequests();
  private readonly outcomes: BackendRequestOutcomes;
  private occupied: OccupiedSlots;
  private failedConnects = 0;
  private cancelTick: Cancel | undefined;
  private state = initialServerState;

  public constructor(options: ServerOptions) {
    super();
    this.options = options;
    this.startRule = new StartRule(options);
    this.occupied = new OccupiedSlots(this.now());
    this.crashes = new CrashRecord(options.logger, options.onMarks);
    this.outcomes = new BackendRequestOutcomes({
      options,
      requests: this.requestTable,
      times: this.serviceTimes,
      meter: this.meter,
      crashes: this.crashes,
      presence: () => this.state.presence,
      admission: this.admission,
      report: () => this.report(),
      // The request with this response is not counted any more, but the server may have counted it.
      onReported: (count) => this.occupied.note(count, this.running.size + 1, this.now()),
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

  /** Number of requests that are queued or running. */
  public get load(): number {
    return this.queue.size + this.running.size;
  }

  protected override receive(message: ServerMessage): void {
    switch (message.type) {
      case 'order':
        this.accept(message.request, message.reply);
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
        this.state = applyViewToServer(this.state, message.view, this.options.identity, this.now());
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
      case 'ending':
        this.outcomes.refuseAll(this.queue.removeAll(), 'stopping');
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

  private accept(backendRequest: BackendRequest, reply: BackendResultCallback): void {
    const { id } = backendRequest.callerRequest;
    const isRepeat = backendRequest.resumes !== '';
    // A refusal concerns one copy of a request only, so a later copy of a refused request is handled anew.
    if (
      this.requestTable.has(id) &&
      !this.requestTable.wasRefused(id) &&
      (isRepeat || !backendRequest.idempotent)
    ) {
      this.requestTable.join(id, reply);
      return;
    }
    if (isRepeat && backendRequest.resumes !== this.options.processId) {
      reply({ type: 'lost', code: 'peerRestarted', load: undefined });
      return;
    }
    if (!backendRequest.idempotent && this.requestTable.isOutdated(id, backendRequest.copy)) {
      reply(this.outcomes.refuse(backendRequest, 'tooLate', false));
      return;
    }
    const nowMs = this.now();
    if (isRepeat) this.requestTable.noteResent(id, backendRequest.copy, nowMs);
    const isShort = this.startRule.noteArrival(backendRequest, nowMs) || backendRequest.isCall === true;
    const queued = {
      request: backendRequest,
      queuedMs: nowMs,
      serviceMs: this.serviceTimes.estimateMs(backendRequest),
      isShort,
      kind: formatKind(backendRequest),
    };
    const admission = checkAdmission(backendRequest, this.state, this.options, nowMs);
    // Refused requests count as demand, too: the running requests of a full server do not show how much its keys are used.
    if (admission === undefined && backendRequest.callerRequest.key !== undefined)
      this.options.onDemand(backendRequest.callerRequest.key, queued.serviceMs);
    const code = admission ?? this.checkRoom(queued, nowMs);
    if (code !== undefined) {
      reply(this.outcomes.refuse(backendRequest, code, false));
      return;
    }
    this.requestTable.open(id, reply, nowMs);
    this.outcomes.refuseAll(this.admission.add(queued, this.capacity(nowMs)), 'displaced');
  }

  private checkRoom(queued: QueuedBackendRequest, nowMs: number): RefusalCode | undefined {
    const { request } = queued;
    if (this.crashes.isQuarantined(request, nowMs)) return 'quarantined';
    const dueMs = request.dueMs - RELAY_MARGIN_MS;
    return this.admission.hasRoom(queued, dueMs, this.capacity(nowMs)) ? undefined : 'full';
  }

  private capacity(nowMs: number): Parameters<ServerAdmission['add']>[1] {
    const slots = this.usableSlots(nowMs);
    return { slots, nowMs, waitMs: (aheadMs) => this.running.waitMs(aheadMs, slots, nowMs) };
  }

  private usableSlots(nowMs: number): number {
    return this.occupied.usable(this.state.presence.slots, nowMs);
  }

  private cancel(id: string): void {
    const nowMs = this.now();
    if (this.queue.remove(id) !== undefined)
      this.requestTable.close(
        id,
        { type: 'refused', code: 'tooLate', retryAfterMs: 0, load: undefined, arrived: false },
        nowMs,
      );
    const running = this.running.find(id);
    if (running?.request.idempotent !== true) return;
    this.running.remove(id);
    running.link.destroy();
    this.requestTable.close(id, { type: 'lost', code: 'cancelled', load: undefined }, nowMs);
  }

  private notePresence(presence: Presence): void {
    const before = this.state.presence;
    this.state = { ...this.state, presence };
    if (before.incarnation === presence.incarnation && presence.state !== 'absent') return;
    this.failedConnects = 0;
    if (before.incarnation !== presence.incarnation) this.links.closeAll();
    // A later run of the backend server has no requests of a former run of this daemon.
    if (before.incarnation !== '' && before.incarnation !== presence.incarnation)
      this.occupied = new OccupiedSlots(-Infinity);
    if (presence.state === 'absent') this.outcomes.refuseAll(this.queue.removeAll(), 'noServer');
  }

  /** Refuses queued requests for moving keys. Their entry daemons send them to the next owner, which they learn first. */
  private noteKeys(keys: GrantedKeys): void {
    this.state = { ...this.state, keys };
    if (keys.moving.length > 0) this.outcomes.refuseAll(this.queue.removeKeys(keys.moving), 'moving');
  }

  private noteSignal(link: ServerLink, signal: ServerLinkSignal): void {
    switch (signal.type) {
      case 'connected':
        this.failedConnects = 0;
        return;
      case 'answered': {
        if (!signal.reusable) this.links.remove(link);
        const running = this.running.take(link, signal.requestId);
        if (running !== undefined) this.outcomes.finish(running, signal.response);
        return;
      }
      case 'broken': {
        this.links.remove(link);
        const running = this.running.take(link, signal.requestId);
        if (running === undefined) return;
        this.outcomes.lose(running, signal.malformed ? 'badAnswer' : 'connectionLost', signal.reason);
        // A new connection shows whether the server has crashed or only this connection was lost.
        if (!signal.malformed && this.links.connectingCount === 0) this.links.open(this.state.presence);
        return;
      }
      case 'closed':
        this.links.remove(link);
        if (signal.neverOpened) this.noteFailedConnect(link.incarnation, signal.refused);
        return;
      case 'skipped':
        this.options.logger.log('answerSkipped', { step: 'backend', peer: this.state.presence.address });
    }
  }

  private noteFailedConnect(incarnation: string, refused: boolean): void {
    this.options.onEvidence({ kind: refused ? 'refused' : 'silent', incarnation });
    if (refused) this.crashes.noteCrash(incarnation, this.now());
    if (incarnation !== this.state.presence.incarnation) return;
    this.failedConnects += 1;
    if (refused || this.failedConnects >= MAX_FAILED_CONNECTS)
      this.outcomes.refuseAll(this.queue.removeAll(), 'noServer');
  }

  private tick(): void {
    this.cancelTick = undefined;
    const nowMs = this.now();
    this.requestTable.expire(nowMs);
    const late = this.admission.removeLate(this.capacity(nowMs), REFUSAL_MARGIN_MS);
    this.outcomes.refuseAll(late, 'tooLate');
    const notGranted = this.queue.removeMatching(
      ({ request, queuedMs }) =>
        this.state.keyed &&
        nowMs - queuedMs > request.targetLatencyMs * GRANT_WAIT_FRACTION &&
        !this.startRule.isGranted(request, this.state),
    );
    this.outcomes.refuseAll(notGranted, 'notGranted');
    this.options.onLoad(this.report(), this.meter.baseSlowdown);
    this.checkSilence(nowMs);
    for (const running of this.running.list()) {
      if (nowMs > running.request.dueMs) this.timeOut(running, nowMs);
    }
  }

  /** Reports a backend server that responds to none of its requests. `PresenceTask` then decides whether it has ended. */
  private checkSilence(nowMs: number): void {
    const { oldestMs } = this.running;
    if (
      nowMs - Math.max(oldestMs, this.outcomes.lastResponseMs) < SILENCE_TIMEOUT_MS ||
      !Number.isFinite(oldestMs)
    )
      return;
    this.options.onEvidence({ kind: 'silent', incarnation: this.state.presence.incarnation });
  }

  private timeOut(running: RunningBackendRequest, nowMs: number): void {
    const { id } = running.request.callerRequest;
    this.running.remove(id);
    running.link.destroy();
    this.requestTable.close(id, { type: 'lost', code: 'timeout', load: this.report() }, nowMs);
  }

  private dispatch(): void {
    for (;;) {
      if (this.queue.size === 0) return;
      if (!this.links.hasIdle) {
        this.openLinks();
        return;
      }
      const nowMs = this.now();
      const otherSlots = this.state.presence.slots - this.usableSlots(nowMs);
      const mayStart = (each: QueuedBackendRequest): boolean =>
        this.startRule.allows(each, this.state, this.running.size + otherSlots, nowMs);
      const queued = this.queue.take(
        (each) => mayStart(each) && this.links.findFor(each.request.callerRequest.id) !== undefined,
      );
      if (queued === undefined) {
        if (this.queue.some(mayStart)) this.openForRepeatedId();
        return;
      }
      const link = this.links.findFor(queued.request.callerRequest.id);
      if (link !== undefined) this.start(queued, link, nowMs);
    }
  }

  /** Opens a connection for a request whose id has been sent on all idle connections. */
  private openForRepeatedId(): void {
    const { presence } = this.state;
    if (this.links.connectingCount > 0 || presence.state === 'absent' || presence.address === '') return;
    if (this.links.size >= this.linkLimit) this.links.closeIdle();
    this.links.open(presence);
  }

  private openLinks(): void {
    const { presence } = this.state;
    if (presence.state === 'absent' || presence.address === '') return;
    const wantedCount = Math.min(this.queue.size, presence.slots - this.running.size);
    while (this.links.connectingCount < wantedCount && this.links.size < this.linkLimit)
      this.links.open(presence);
  }

  private get linkLimit(): number {
    const { presence, maxConnections } = this.state;
    return Math.min(maxConnections, presence.slots + 2);
  }

  private start(queued: QueuedBackendRequest, link: ServerLink, nowMs: number): void {
    const { request: backendRequest, serviceMs, queuedMs } = queued;
    const { callerRequest } = backendRequest;
    const leftMs = backendRequest.dueMs - RELAY_MARGIN_MS - nowMs;
    if (!canEnd(backendRequest, nowMs + RELAY_MARGIN_MS, serviceMs)) {
      this.outcomes.refuseAll([queued], 'tooLate');
      return;
    }
    this.startRule.noteStart(nowMs);
    this.admission.noteStarted(queued, nowMs);
    this.links.markUsed(link);
    this.running.add({ request: backendRequest, link, sentMs: nowMs, expectedMs: serviceMs });
    const { instanceId } = this.state.presence;
    const head = formatBackendRequest(backendRequest, instanceId, leftMs, this.options.headers);
    link.send(
      { requestId: callerRequest.id, isHead: callerRequest.method === 'HEAD' },
      head,
      callerRequest.body,
    );
    if (nowMs - queuedMs > backendRequest.targetLatencyMs) {
      this.options.logger.log('orderWaited', {
        step: 'queue',
        id: callerRequest.id,
        waitedMs: Math.round(nowMs - queuedMs),
      });
    }
  }

  private report(): LoadReport {
    const { slots } = this.state.presence;
    return this.meter.report(this.running, this.queue, slots, this.serviceTimes.meanMs, this.now());
  }

  private scheduleTick(): void {
    if (this.cancelTick !== undefined || this.load === 0) return;
    const { clock } = this.options;
    this.cancelTick = scheduleAfterReads(clock, TICK_INTERVAL_MS, () => this.post({ type: 'tick' }));
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
