import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { BackendSample } from '#admission/BackendSample.js';
import { LatencyLevel } from '#admission/LatencyLevel.js';
import { slowStartChart } from '#admission/SlowStartChart.js';
import type { SlowStartContext } from '#admission/SlowStartContext.js';
import type { SlowStartEvent } from '#admission/SlowStartEvent.js';

/** Number of responses that complete a window, for each allowed slot. */
const WINDOW_RESPONSES_PER_SLOT = 4;

/** Number of consecutive shed requests or refused connections after which the backend server counts as cold. */
const FAILURES_UNTIL_COLD = 3;

/**
 * Limits the load of one backend server to what it has proved to handle, `slots x share`. The share doubles after each
 * window without signs of overload in which the limit was reached. It is halved by a shed request or a latency step,
 * and restarts at one slot if the backend server is new or seems to be cold. Times are monotonic, in milliseconds.
 */
export class SlowStart {
  private readonly latency = new LatencyLevel();
  private snapshot: ChartSnapshot<SlowStartContext>;
  private incarnation = '';
  private changedMs = -Infinity;
  private responses = 0;
  private latencySumMs = 0;
  private peakRunning = 0;
  private failureRun = 0;

  public constructor(slots: number) {
    this.snapshot = { value: slowStartChart.initial, context: { slots, share: 1 / Math.max(1, slots) } };
  }

  /** Fraction of the slots that may be used. */
  public get share(): number {
    return this.snapshot.context.share;
  }

  /** State of the chart: `cold`, `ramping` or `steady`. */
  public get state(): string {
    return this.snapshot.value;
  }

  /** Number of requests that may run at once; at least 1. */
  public get limit(): number {
    return Math.max(1, Math.floor(this.snapshot.context.slots * this.share + 1e-9));
  }

  /** Notes an announcement of the backend server. A new incarnation begins a slow start. */
  public announce(incarnation: string, slots: number, nowMs: number): void {
    this.snapshot = { ...this.snapshot, context: { slots: Math.max(1, slots), share: this.share } };
    if (incarnation === this.incarnation) return;
    this.incarnation = incarnation;
    this.change('cold', nowMs);
  }

  /** Notes the end of one request. */
  public observe(sample: BackendSample, nowMs: number): void {
    if (sample.kind === 'shed' || sample.kind === 'refused') this.observeFailure(sample, nowMs);
    else if (sample.kind === 'answered') this.observeResponse(sample, nowMs);
  }

  private observeFailure(sample: BackendSample, nowMs: number): void {
    this.failureRun += 1;
    if (this.failureRun >= FAILURES_UNTIL_COLD) this.change('cold', nowMs);
    // Requests that were sent before the last change ran under the old limit, so they are no evidence about the new
    // one.
    else if (sample.startedMs >= this.changedMs) this.change('overload', nowMs);
  }

  private observeResponse(sample: BackendSample, nowMs: number): void {
    this.failureRun = 0;
    if (sample.startedMs < this.changedMs) return;
    this.responses += 1;
    this.latencySumMs += sample.latencyMs;
    this.peakRunning = Math.max(this.peakRunning, sample.running);
    if (this.responses >= this.limit * WINDOW_RESPONSES_PER_SLOT) this.endWindow(nowMs);
  }

  private endWindow(nowMs: number): void {
    const step = this.latency.add(this.latencySumMs / this.responses, nowMs);
    if (step) this.change('overload', nowMs);
    // A window that never reached the limit does not prove that the backend server can handle more.
    else if (this.peakRunning >= this.limit && this.share < 1) this.change('windowGood', nowMs);
    else this.startWindow();
  }

  private change(type: SlowStartEvent['type'], nowMs: number): void {
    this.snapshot = advanceChart(slowStartChart, this.snapshot, { type }).snapshot;
    this.changedMs = nowMs;
    if (type === 'cold') this.failureRun = 0;
    this.startWindow();
  }

  private startWindow(): void {
    this.responses = 0;
    this.latencySumMs = 0;
    this.peakRunning = 0;
  }
}
