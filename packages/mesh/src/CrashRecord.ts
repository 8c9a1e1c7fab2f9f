import type { CrashMark } from '#admission/CrashMark.js';
import { Quarantine } from '#admission/Quarantine.js';
import type { Logger } from '#core/Logger.js';
import { createBackendRequestFingerprint } from '#mesh/CreateBackendRequestFingerprint.js';
import { markRetentionMs } from '#mesh/MarkRetentionMs.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';

/**
 * A request is suspected of a crash if its connection was lost within this time before the crash was noticed.
 */
const CRASH_WINDOW_MS = 600;

/** Capacity of the quarantine, in marked requests. */
const MAX_MARKS = 5_000;

interface Loss {
  readonly request: BackendRequest;
  readonly atMs: number;
}

/** Detects requests that crash the backend servers on which they run. Times are monotonic, in milliseconds. */
export class CrashRecord {
  private readonly quarantine = new Quarantine(MAX_MARKS, markRetentionMs);
  private readonly logger: Logger;
  private readonly onMarks: (marks: readonly CrashMark[]) => void;
  private losses: readonly Loss[] = [];

  /** `onMarks` is called with the marks to send to other daemons. */
  public constructor(logger: Logger, onMarks: (marks: readonly CrashMark[]) => void) {
    this.logger = logger;
    this.onMarks = onMarks;
  }

  /** Notes a request whose connection was lost while it ran. */
  public noteLoss(request: BackendRequest, nowMs: number): void {
    this.losses = [...this.recentLosses(nowMs), { request, atMs: nowMs }];
  }

  /** Marks the requests whose connections were lost just before a crash. */
  public noteCrash(incarnation: string, nowMs: number): void {
    const recent = this.recentLosses(nowMs);
    this.losses = [];
    if (recent.length === 0) return;
    this.logger.log('serverCrashed', { step: 'backend', incarnation, orders: recent.length });
    const fingerprints = recent.map(({ request }) => createBackendRequestFingerprint(request));
    this.onMarks(this.quarantine.mark(fingerprints, incarnation, nowMs));
  }

  /** Clears the marks of a request that ran without a crash. */
  public noteSuccess(request: BackendRequest, nowMs: number): void {
    if (this.quarantine.size === 0) return;
    const cleared = this.quarantine.clear(createBackendRequestFingerprint(request), nowMs);
    if (cleared.length > 0) this.onMarks(cleared);
  }

  /** Merges marks that another daemon sent. */
  public merge(marks: readonly CrashMark[], nowMs: number): void {
    this.quarantine.merge(marks, nowMs);
  }

  /** Whether a request has crashed so many backend servers that it must not run. */
  public isQuarantined(request: BackendRequest, nowMs: number): boolean {
    if (this.quarantine.size === 0) return false;
    return this.quarantine.check(createBackendRequestFingerprint(request), nowMs).kind === 'hold';
  }

  private recentLosses(nowMs: number): readonly Loss[] {
    return this.losses.filter(({ atMs }) => nowMs - atMs < CRASH_WINDOW_MS);
  }
}
