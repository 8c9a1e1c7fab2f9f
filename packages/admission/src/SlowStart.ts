import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { BackendSample } from '#admission/BackendSample.js';
import { LatencyLevel } from '#admission/LatencyLevel.js';
import { slowStartChart } from '#admission/SlowStartChart.js';
import type { SlowStartContext } from '#admission/SlowStartContext.js';
import type { SlowStartEvent } from '#admission/SlowStartEvent.js';

/** Answers per allowed slot that make up a window. */
const WINDOW_ANSWERS_PER_SLOT = 4;

/** Sheds or refused connections in a row after which the backend server is taken for cold. */
const COLD_RUN = 3;

/**
 * Limits the work of one backend server to what it has proved to bear: `slots x share`. The share doubles with each
 * good window in which the limit was reached, halves with a shed or latency step, and starts over at one slot when the
 * backend server is new or seems to be cold. Times are monotonic, in milliseconds.
 */
export class SlowStart {
  private readonly latency = new LatencyLevel();
  private snapshot: ChartSnapshot<SlowStartContext>;
  private incarnation = '';
  private changedMs = -Infinity;
  private answers = 0;
  private latencySumMs = 0;
  private peakRunning = 0;
  private troubleRun = 0;

  public constructor(slots: number) {
    this.snapshot = { value: slowStartChart.initial, context: { slots, share: 1 / Math.max(1, slots) } };
  }

  /** Part of the slots that may be used. */
  public get share(): number {
    return this.snapshot.context.share;
  }

  /** State of the chart: `cold`, `ramping` or `steady`. */
  public get state(): string {
    return this.snapshot.value;
  }

  /** Requests that may run at once; at least 1. */
  public get limit(): number {
    return Math.max(1, Math.floor(this.snapshot.context.slots * this.share + 1e-9));
  }

  /** Notes an announcement of the backend server. One with a new incarnation begins a slow start. */
  public announce(incarnation: string, slots: number, nowMs: number): void {
    this.snapshot = { ...this.snapshot, context: { slots: Math.max(1, slots), share: this.share } };
    if (incarnation === this.incarnation) return;
    this.incarnation = incarnation;
    this.change('cold', nowMs);
  }

  /** Notes the end of one request. */
  public observe(sample: BackendSample, nowMs: number): void {
    if (sample.kind === 'shed' || sample.kind === 'refused') this.observeTrouble(sample, nowMs);
    else if (sample.kind === 'answered') this.observeAnswer(sample, nowMs);
  }

  private observeTrouble(sample: BackendSample, nowMs: number): void {
    this.troubleRun += 1;
    if (this.troubleRun >= COLD_RUN) this.change('cold', nowMs);
    // Requests sent before the last change ran under the old limit and say nothing about the new one.
    else if (sample.startedMs >= this.changedMs) this.change('trouble', nowMs);
  }

  private observeAnswer(sample: BackendSample, nowMs: number): void {
    this.troubleRun = 0;
    if (sample.startedMs < this.changedMs) return;
    this.answers += 1;
    this.latencySumMs += sample.latencyMs;
    this.peakRunning = Math.max(this.peakRunning, sample.running);
    if (this.answers >= this.limit * WINDOW_ANSWERS_PER_SLOT) this.endWindow(nowMs);
  }

  private endWindow(nowMs: number): void {
    const step = this.latency.add(this.latencySumMs / this.answers, nowMs);
    if (step) this.change('trouble', nowMs);
    // A window that never reached the limit has not proved that the backend server bears more.
    else if (this.peakRunning >= this.limit && this.share < 1) this.change('windowGood', nowMs);
    else this.startWindow();
  }

  private change(type: SlowStartEvent['type'], nowMs: number): void {
    this.snapshot = advanceChart(slowStartChart, this.snapshot, { type }).snapshot;
    this.changedMs = nowMs;
    if (type === 'cold') this.troubleRun = 0;
    this.startWindow();
  }

  private startWindow(): void {
    this.answers = 0;
    this.latencySumMs = 0;
    this.peakRunning = 0;
  }
}
