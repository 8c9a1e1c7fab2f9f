import { chooseDisplaced } from '#overload/ChooseDisplaced.js';
import { compareUrgency } from '#overload/CompareUrgency.js';
import { KindShares } from '#overload/KindShares.js';
import { mayDisplace } from '#overload/MayDisplace.js';
import { PassingLoad } from '#overload/PassingLoad.js';
import { ReturnSchedule } from '#overload/ReturnSchedule.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import { BackendRequestQueue } from '#mesh/BackendRequestQueue.js';
import { fitsBeforeTarget } from '#mesh/FitsBeforeTarget.js';
import { formatKind } from '#mesh/FormatKind.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';

/** Maximum length of the queue, as a multiple of the slots. */
const MAX_QUEUED_PER_SLOT = 12;

/** Fraction of the wait of a full queue after which the first refused caller may return. */
const RETURN_WAIT_FRACTION = 0.5;

/**
 * Exponent of the stretch of the wait by overtaking work when a request is queued. With 1, an overloaded service held twice as many
 * requests for over half their target latency that then reached no server.
 */
const ADMISSION_EXPONENT = 2;

/** A wait up to this fraction of the target latency is not stretched: without overload, few requests overtake so soon. */
const SHORT_WAIT_FRACTION = 0.1;

/** State of the server that admission depends on. */
interface ServerCapacity {
  readonly slots: number;
  readonly nowMs: number;
  /** Expected time until a slot is free behind `workAheadMs` of queued work, in milliseconds. */
  readonly waitMs: (workAheadMs: number) => number;
}

/**
 * Admission of requests to the queue of a backend server. Times are monotonic, in milliseconds. Keeps the queue, the shares
 * of the kinds of request, and the return schedule.
 */
export class ServerAdmission {
  public readonly queue: BackendRequestQueue;
  private readonly shares = new KindShares();
  private readonly passing = new PassingLoad();
  private readonly returns = new ReturnSchedule();

  public constructor(compare = compareUrgency) {
    this.queue = new BackendRequestQueue(this.isOwed, compare);
  }

  /** Whether there is room for a request whose response must be ready by `dueMs`, also by displacing another one. */
  public hasRoom(queued: QueuedBackendRequest, dueMs: number, capacity: ServerCapacity): boolean {
    const { slots, nowMs } = capacity;
    const isFull = this.queue.size >= slots * MAX_QUEUED_PER_SLOT;
    if (isFull && !this.queue.some((each) => mayDisplace(queued, each, this.isOwed))) return false;
    const aheadMs = capacity.waitMs(this.queue.workAheadMs(queued, nowMs));
    const isSoon = aheadMs <= queued.request.targetLatencyMs * SHORT_WAIT_FRACTION;
    const stretch = isSoon ? 1 : this.passing.stretch(queued, slots, this.isOwed, nowMs);
    const waitMs = aheadMs * stretch ** ADMISSION_EXPONENT;
    return fitsBeforeTarget(queued, waitMs, dueMs, nowMs);
  }

  /** Queues a request, and removes and returns those that it displaces. */
  public add(queued: QueuedBackendRequest, capacity: ServerCapacity): readonly QueuedBackendRequest[] {
    const { slots, nowMs } = capacity;
    this.queue.add(queued, nowMs);
    const displaced = chooseDisplaced(this.queue.list(), queued, {
      maxQueued: slots * MAX_QUEUED_PER_SLOT,
      nowMs,
      isOwed: this.isOwed,
      waitMs: (each, aheadMs) => this.waitMs(each, aheadMs, capacity),
    });
    const chosen = new Set(displaced);
    return chosen.size === 0 ? [] : this.queue.removeMatching((each) => chosen.has(each));
  }

  /** Removes and returns the requests that can no longer end `marginMs` before they are due. */
  public removeLate(capacity: ServerCapacity, marginMs: number): readonly QueuedBackendRequest[] {
    const { nowMs } = capacity;
    this.queue.sort(nowMs);
    return this.queue.removeLate((each, aheadMs) => this.waitMs(each, aheadMs, capacity), marginMs, nowMs);
  }

  /** Notes that a request got a slot. */
  public noteStarted(queued: QueuedBackendRequest, nowMs: number): void {
    this.shares.note(queued.kind, true, nowMs);
    this.passing.noteStart(queued, nowMs);
  }

  /** Notes that a request was refused for lack of capacity. */
  public noteRefused(request: BackendRequest, nowMs: number): void {
    this.shares.note(formatKind(request), false, nowMs);
  }

  /** Reserves the next place for the return of a refused caller; 0 if there is none in time. */
  public reserveReturn({ waitMs, serviceMs, slots }: LoadReport, nowMs: number): number {
    const earliestMs = nowMs + waitMs * RETURN_WAIT_FRACTION;
    return Math.ceil(this.returns.reserve(nowMs, serviceMs / Math.max(1, slots), earliestMs) ?? 0);
  }

  /** Expected time until a request gets a slot, including the work that passes ahead of it meanwhile. */
  private waitMs(
    queued: QueuedBackendRequest,
    workAheadMs: number,
    { slots, nowMs, waitMs }: ServerCapacity,
  ): number {
    return waitMs(workAheadMs) * this.passing.stretch(queued, slots, this.isOwed, nowMs);
  }

  private readonly isOwed = (kind: string): boolean => this.shares.isOwed(kind);
}
