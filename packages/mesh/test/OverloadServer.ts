import type { RandomSource } from '#core/RandomSource.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { canEnd } from '#mesh/CanEnd.js';
import { createRefusal } from '#mesh/CreateRefusal.js';
import { formatKind } from '#mesh/FormatKind.js';
import { LoadMeter } from '#mesh/LoadMeter.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';
import { RunningBackendRequests } from '#mesh/RunningBackendRequests.js';
import type { ServerAdmission } from '#mesh/ServerAdmission.js';
import type { ServerLink } from '#mesh/ServerLink.js';
import { ServiceTimesByKind } from '#mesh/ServiceTimesByKind.js';
import { ShortRequestClassifier } from '#mesh/ShortRequestClassifier.js';
import type { EventQueue } from './EventQueue.js';
import { LegacyAdmission } from './LegacyAdmission.js';

const TICK_MS = 20;
const RELAY_MARGIN_MS = 5;
const REFUSAL_MARGIN_MS = 40;

type Reply = (result: BackendResult) => void;

/** Work of a request at the backend server: calls `done` with whether it succeeded. */
type Work = (request: BackendRequest, done: (succeeded: boolean) => void) => void;

/** A backend server and the daemon beside it, without a network: queue, slots and refusals. */
export class OverloadServer {
  public readonly slots: number;
  /** Slot time that earned nothing, in milliseconds. */
  public wastedMs = 0;
  /** Slot time of requests that have ended, in milliseconds. */
  public usedMs = 0;
  private readonly events: EventQueue;
  private readonly admission: ServerAdmission;
  private readonly isLegacy: boolean;
  private readonly work: Work;
  private readonly random: RandomSource;
  /** Fraction of the requests that the backend server itself refuses. */
  private readonly shedFraction: number;
  private readonly running = new RunningBackendRequests();
  private readonly times = new ServiceTimesByKind();
  private readonly shortKinds = new ShortRequestClassifier();
  private readonly meter = new LoadMeter();
  private readonly replies = new Map<string, Reply>();
  private shortUntilMs = -Infinity;

  public constructor(
    events: EventQueue,
    slots: number,
    admission: ServerAdmission,
    random: RandomSource,
    work: Work,
    shedFraction = 0,
  ) {
    this.events = events;
    this.slots = slots;
    this.admission = admission;
    this.isLegacy = admission instanceof LegacyAdmission;
    this.random = random;
    this.work = work;
    this.shedFraction = shedFraction;
    events.schedule(TICK_MS, () => this.tick());
  }

  public accept(request: BackendRequest, reply: Reply): void {
    const { nowMs } = this.events;
    const isShort = this.shortKinds.note(request.targetLatencyMs);
    if (isShort) this.shortUntilMs = nowMs + 5_000;
    const queued = {
      request,
      queuedMs: nowMs,
      serviceMs: this.times.estimateMs(request),
      isShort: isShort || (!this.isLegacy && request.isCall === true),
      kind: formatKind(request),
    };
    if (!this.admission.hasRoom(queued, request.dueMs - RELAY_MARGIN_MS, this.capacity())) {
      reply(this.refuse(request, 'full'));
      return;
    }
    this.replies.set(request.callerRequest.id, reply);
    for (const displaced of this.admission.add(queued, this.capacity()))
      this.end(displaced.request, this.refuse(displaced.request, 'displaced'));
    this.dispatch();
  }

  /** Cancels a request that waits. */
  public cancel(id: string): void {
    this.admission.queue.remove(id);
    this.replies.delete(id);
  }

  public report(): LoadReport {
    return this.meter.report(
      this.running,
      this.admission.queue,
      this.slots,
      this.times.meanMs,
      this.events.nowMs,
    );
  }

  private capacity(): Parameters<ServerAdmission['add']>[1] {
    const { nowMs } = this.events;
    return { slots: this.slots, nowMs, waitMs: (ahead) => this.running.waitMs(ahead, this.slots, nowMs) };
  }

  private tick(): void {
    const { nowMs } = this.events;
    const late = this.admission.removeLate(this.capacity(), REFUSAL_MARGIN_MS);
    for (const { request } of late) this.end(request, this.refuse(request, 'tooLate'));
    for (const { request } of this.running.list())
      if (nowMs > request.dueMs) this.end(request, { type: 'lost', code: 'timeout', load: this.report() });
    this.dispatch();
    this.events.schedule(TICK_MS, () => this.tick());
  }

  private dispatch(): void {
    const { nowMs } = this.events;
    for (;;) {
      const reserved = nowMs < this.shortUntilMs ? 1 : 0;
      const queued = this.admission.queue.take(
        ({ isShort }) => this.running.size < this.slots - (isShort ? 0 : reserved),
      );
      if (queued === undefined) return;
      const { request, serviceMs } = queued;
      if (!canEnd(request, nowMs + RELAY_MARGIN_MS, serviceMs))
        this.end(request, this.refuse(request, 'tooLate'));
      else if (this.random.fraction() < this.shedFraction) {
        const refusal = createRefusal('shed', this.report(), true, undefined);
        this.events.schedule(1, () => this.end(request, refusal));
      } else this.start(queued);
    }
  }

  private start(queued: QueuedBackendRequest): void {
    const { request, serviceMs: expectedMs } = queued;
    const sentMs = this.events.nowMs;
    this.admission.noteStarted(queued, sentMs);
    const link = Object.freeze({}) as unknown as ServerLink;
    this.running.add({ request, link, sentMs, expectedMs });
    this.work(request, (succeeded) => {
      if (this.running.take(link, request.callerRequest.id) === undefined) return;
      const { nowMs } = this.events;
      this.usedMs += nowMs - sentMs;
      this.times.add(request, nowMs - sentMs);
      if (!succeeded || nowMs > request.dueMs) this.wastedMs += nowMs - sentMs;
      const response = { status: succeeded ? 200 : 500, headers: [], body: Buffer.alloc(0) };
      this.end(request, { type: 'answered', response, load: this.report() });
      this.dispatch();
    });
  }

  private end(request: BackendRequest, result: BackendResult): void {
    const { id } = request.callerRequest;
    const running = this.running.find(id);
    if (running !== undefined) {
      this.usedMs += this.events.nowMs - running.sentMs;
      this.wastedMs += this.events.nowMs - running.sentMs;
      this.running.remove(id);
    }
    const reply = this.replies.get(id);
    this.replies.delete(id);
    reply?.(result);
  }

  private refuse(request: BackendRequest, code: RefusalCode): BackendResult {
    const { nowMs } = this.events;
    this.admission.noteRefused(request, nowMs);
    return createRefusal(code, this.report(), false, this.admission.reserveReturn(this.report(), nowMs));
  }
}
