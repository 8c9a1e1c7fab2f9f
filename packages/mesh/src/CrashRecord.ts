import type { CrashMark } from '#admission/CrashMark.js';
import { Quarantine } from '#admission/Quarantine.js';
import type { Logger } from '#core/Logger.js';
import { createBackendRequestFingerprint } from '#mesh/CreateBackendRequestFingerprint.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';

/** A lost order counts against a crash that is noticed within this time, in milliseconds. */
const CRASH_WINDOW_MS = 600;

/** Requests that may have crashed a backend server. */
const MAX_MARKED = 5_000;
const MARK_KEEP_MS = 60_000;

interface Loss {
  readonly order: BackendRequest;
  readonly atMs: number;
}

/** Recognises requests that crash the backend servers which run them. Times are monotonic, in milliseconds. */
export class CrashRecord {
  private readonly quarantine = new Quarantine(MAX_MARKED, MARK_KEEP_MS);
  private readonly logger: Logger;
  private readonly onMarks: (marks: readonly CrashMark[]) => void;
  private losses: readonly Loss[] = [];

  /** `onMarks` receives the marks to send to other daemons. */
  public constructor(logger: Logger, onMarks: (marks: readonly CrashMark[]) => void) {
    this.logger = logger;
    this.onMarks = onMarks;
  }

  /** Notes an order whose connection was lost while it ran. */
  public noteLoss(order: BackendRequest, nowMs: number): void {
    this.losses = [...this.recentLosses(nowMs), { order, atMs: nowMs }];
  }

  /** Marks the orders that were lost just before a crash. */
  public noteCrash(incarnation: string, nowMs: number): void {
    const recent = this.recentLosses(nowMs);
    this.losses = [];
    if (recent.length === 0) return;
    this.logger.log('serverCrashed', { step: 'backend', incarnation, orders: recent.length });
    const prints = recent.map(({ order }) => createBackendRequestFingerprint(order));
    this.onMarks(this.quarantine.mark(prints, incarnation, nowMs));
  }

  /** Clears the marks of an order that ran without a crash. */
  public noteRun(order: BackendRequest, nowMs: number): void {
    if (this.quarantine.size === 0) return;
    const cleared = this.quarantine.clear(createBackendRequestFingerprint(order), nowMs);
    if (cleared.length > 0) this.onMarks(cleared);
  }

  /** Takes over marks of another daemon. */
  public merge(marks: readonly CrashMark[], nowMs: number): void {
    this.quarantine.merge(marks, nowMs);
  }

  /** Whether an order has crashed too many backend servers to run. */
  public isHeld(order: BackendRequest, nowMs: number): boolean {
    if (this.quarantine.size === 0) return false;
    return this.quarantine.check(createBackendRequestFingerprint(order), nowMs).kind === 'hold';
  }

  private recentLosses(nowMs: number): readonly Loss[] {
    return this.losses.filter(({ atMs }) => nowMs - atMs < CRASH_WINDOW_MS);
  }
}
