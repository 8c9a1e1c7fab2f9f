import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';

/** Time over which dropped requests are counted in one line, in milliseconds. */
const LINE_MS = 1_000;

interface Drops {
  /** Requests whose callers left, and requests that waited too long. */
  readonly left: number;
  readonly refused: number;
  /** Longest time that one of them may have waited. */
  readonly longestMs: number;
}

const NONE: Drops = { left: 0, refused: 0, longestMs: 0 };

/** Counts requests that end before work on them begins, and writes one line a second about them. */
export class DropReport {
  private readonly logger: Logger;
  private readonly clock: Clock;
  private readonly metrics: MetricsRecorder;
  private drops = NONE;
  private cancelLine: Cancel | undefined;

  public constructor(logger: Logger, clock: Clock, metrics: MetricsRecorder) {
    this.logger = logger;
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Notes that the caller of a request left. */
  public noteLeft(waitedMs: number): void {
    this.metrics.count('arrivalsLeft');
    this.add({ ...this.drops, left: this.drops.left + 1 }, waitedMs);
  }

  /** Notes that a request was refused because it waited too long. */
  public noteRefused(waitedMs: number): void {
    this.metrics.count('arrivalsRefused');
    this.add({ ...this.drops, refused: this.drops.refused + 1 }, waitedMs);
  }

  /** Writes the last line. */
  public stop(): void {
    this.cancelLine?.();
    if (this.drops !== NONE) this.write();
  }

  private add(drops: Drops, waitedMs: number): void {
    this.drops = { ...drops, longestMs: Math.max(drops.longestMs, waitedMs) };
    this.cancelLine ??= this.clock.schedule(LINE_MS, () => this.write());
  }

  private write(): void {
    this.cancelLine = undefined;
    const { left, refused, longestMs } = this.drops;
    this.drops = NONE;
    this.logger.log('arrivalsDropped', { step: 'admit', left, refused, longestMs: Math.round(longestMs) });
  }
}
