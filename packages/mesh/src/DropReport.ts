import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';

/** Interval between two log lines. */
const REPORT_INTERVAL_MS = 1_000;

interface Drops {
  /** Requests whose callers closed the connection, and requests that were refused after waiting too long. */
  readonly left: number;
  readonly refused: number;
  /** Longest time that any of them may have waited, in milliseconds. */
  readonly longestMs: number;
}

const NONE: Drops = { left: 0, refused: 0, longestMs: 0 };

/** Counts requests that end before they are processed, and logs the counts at most once a second. */
export class DropReport {
  private readonly logger: Logger;
  private readonly clock: Clock;
  private readonly metrics: MetricsRecorder;
  private drops = NONE;
  private cancelReport: Cancel | undefined;

  public constructor(logger: Logger, clock: Clock, metrics: MetricsRecorder) {
    this.logger = logger;
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Notes that the caller of a waiting request closed its connection. */
  public noteLeft(waitedMs: number): void {
    this.metrics.count('arrivalsLeft');
    this.add({ ...this.drops, left: this.drops.left + 1 }, waitedMs);
  }

  /** Notes that a request was refused because it waited too long. */
  public noteRefused(waitedMs: number): void {
    this.metrics.count('arrivalsRefused');
    this.add({ ...this.drops, refused: this.drops.refused + 1 }, waitedMs);
  }

  /** Logs the remaining counts. */
  public stop(): void {
    this.cancelReport?.();
    if (this.drops !== NONE) this.write();
  }

  private add(drops: Drops, waitedMs: number): void {
    this.drops = { ...drops, longestMs: Math.max(drops.longestMs, waitedMs) };
    this.cancelReport ??= this.clock.schedule(REPORT_INTERVAL_MS, () => this.write());
  }

  private write(): void {
    this.cancelReport = undefined;
    const { left, refused, longestMs } = this.drops;
    this.drops = NONE;
    this.logger.log('arrivalsDropped', { step: 'admit', left, refused, longestMs: Math.round(longestMs) });
  }
}
