import type { LoadReport } from '#balance/LoadReport.js';
import type { ResultKind } from '#placement/ResultKind.js';

/** Time constant of the moving averages of the load and of the slowdown, in milliseconds. */
const AVERAGE_MS = 3_000;

/** Least weight of a report in the moving averages: reports may follow one another at once. */
const MIN_REPORT_WEIGHT = 0.05;

/** Time constant with which results are forgotten that count as failures or successes, in milliseconds. */
const OUTCOME_MEMORY_MS = 8_000;

/** A reported load is outdated after about this many service times, in which other requests end and begin. */
const VALIDITY_SERVICES = 4;

/**
 * Time constant with which the average load of a server without new reports gives way to that of the others, in
 * milliseconds. Otherwise a server that was once overloaded would never be tried again.
 */
const AVERAGE_VALIDITY_MS = 5_000;

/** Lower bounds of reported figures: a report of nothing must not make a server infinitely fast. */
const MIN_SERVICE_MS = 1;
const MIN_SLOWDOWN = 0.1;

/** Bounds of the present slowdown relative to the average one that the service time contains. */
const MIN_RELATIVE_SLOWDOWN = 0.5;
const MAX_RELATIVE_SLOWDOWN = 2.5;

/** Wait that is assumed after a refusal for lack of room, in milliseconds. */
const NO_ROOM_WAIT_MS = 250;

/**
 * What one daemon knows of a backend server from its own requests. Predictions are written to fields that the
 * caller reads, so that a prediction allocates nothing. Times are monotonic, in milliseconds.
 */
export class ServerEstimate {
  /** Number of requests at the server that is expected now, and its variance. */
  public busy = 0;
  public variance = 0;
  /** Service time and wait that are expected now, in milliseconds. */
  public serviceMs = 0;
  public reportedWaitMs = 0;
  private load: LoadReport | undefined;
  private reportedMs = -Infinity;
  private averageLoad = 0;
  private averageSlowdown = 1;
  private slowdown = 1;
  private slowdownMs = -Infinity;
  private waitMs = 0;
  private inFlight = 0;
  private sentSinceReport = 0;
  private successes = 0;
  private failures = 0;
  private outcomeMs = 0;

  public get isReported(): boolean {
    return this.load !== undefined;
  }

  /** Moving average of the requests at the server for each of its slots. */
  public get meanLoad(): number {
    return this.averageLoad;
  }

  /** Average service time by the last report, in milliseconds; 0 without a report. */
  public get meanServiceMs(): number {
    return this.load === undefined ? 0 : Math.max(MIN_SERVICE_MS, this.load.serviceMs);
  }

  /** Moving average of the slowdown of its VM; 1 if unknown. */
  public get meanSlowdown(): number {
    return this.averageSlowdown;
  }

  /** Notes that a request was sent. */
  public noteSent(): void {
    this.inFlight += 1;
    this.sentSinceReport += 1;
  }

  /** Notes the result of a request and the load that was reported with it. */
  public noteResult(kind: ResultKind, load: LoadReport | undefined, nowMs: number): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    // Results without a report must not leave their requests in the count for ever.
    this.sentSinceReport = Math.min(this.sentSinceReport, this.inFlight);
    if (load !== undefined) this.noteLoad(load, kind === 'success', nowMs);
    if (kind === 'noRoom') this.noteNoRoom(nowMs);
    if (kind !== 'success' && kind !== 'failure') return;
    const kept = Math.exp(-(nowMs - this.outcomeMs) / OUTCOME_MEMORY_MS);
    this.successes = this.successes * kept + (kind === 'success' ? 1 : 0);
    this.failures = this.failures * kept + (kind === 'failure' ? 1 : 0);
    this.outcomeMs = nowMs;
  }

  /** Fraction of recent requests that failed; it falls while none is sent, so that the server is tried again. */
  public failureRate(nowMs: number): number {
    if (this.failures === 0) return 0;
    const kept = Math.exp(-(nowMs - this.outcomeMs) / OUTCOME_MEMORY_MS);
    return (this.failures * kept) / ((this.failures + this.successes) * kept + 1);
  }

  /**
   * Predicts the state of the server now. A report that ages gives way to the average load of the server, and that one in
   * turn, as for a server without reports, to the given load for each slot and service time. `otherSlowdown` is the mean
   * slowdown of the servers whose mean service time is `otherServiceMs`.
   */
  public predict(
    slots: number,
    otherLoad: number,
    otherServiceMs: number,
    otherSlowdown: number,
    nowMs: number,
  ): void {
    const { load } = this;
    if (load === undefined) {
      this.serviceMs = otherServiceMs;
      this.busy = Math.max(this.inFlight, otherLoad * slots + this.sentSinceReport);
      this.variance = otherLoad * slots;
      this.reportedWaitMs = this.waitMs * Math.exp(-(nowMs - this.reportedMs) / NO_ROOM_WAIT_MS);
      return;
    }
    // The average service time depends on which kinds of request the server happened to run, the slowdown of its VM does
    // not, but it need not be proportional to the service time. Their geometric mean is used.
    const byVmMs = (otherServiceMs * this.averageSlowdown) / otherSlowdown;
    const meanMs = Math.max(MIN_SERVICE_MS, Math.sqrt(this.meanServiceMs * byVmMs));
    const current = Math.exp(-(nowMs - this.reportedMs) / (VALIDITY_SERVICES * meanMs));
    const averageValidity = Math.exp(-(nowMs - this.reportedMs) / AVERAGE_VALIDITY_MS);
    const mean = (otherLoad + (this.averageLoad - otherLoad) * averageValidity) * slots;
    this.busy = Math.max(
      this.inFlight,
      mean + (load.running + load.queued - mean) * current + this.sentSinceReport,
    );
    this.variance = mean * (1 - current * current);
    this.reportedWaitMs = this.waitMs * current;
    const currentSlowdown = Math.exp(-(nowMs - this.slowdownMs) / (VALIDITY_SERVICES * meanMs));
    this.serviceMs = meanMs * (1 + (this.relativeSlowdown() - 1) * currentSlowdown);
  }

  /** Present slowdown relative to the average one: the average service time already contains the latter. */
  private relativeSlowdown(): number {
    const relative = this.slowdown / this.averageSlowdown;
    return Math.min(MAX_RELATIVE_SLOWDOWN, Math.max(MIN_RELATIVE_SLOWDOWN, relative));
  }

  /** A slowdown is current only in reports with a response; other reports may contain an assumed one. */
  private noteLoad(load: LoadReport, hasSlowdown: boolean, nowMs: number): void {
    const perSlot = (load.running + load.queued) / Math.max(1, load.slots);
    const weight = weightAfter(nowMs - this.reportedMs);
    this.averageLoad += (this.load === undefined ? 1 : weight) * (perSlot - this.averageLoad);
    if (hasSlowdown) {
      const slowdown = Math.max(MIN_SLOWDOWN, load.slowdown);
      const slowdownWeight = this.slowdownMs === -Infinity ? 1 : weightAfter(nowMs - this.slowdownMs);
      this.averageSlowdown += slowdownWeight * (slowdown - this.averageSlowdown);
      this.slowdown = slowdown;
      this.slowdownMs = nowMs;
    }
    this.load = load;
    this.waitMs = load.waitMs;
    this.reportedMs = nowMs;
    this.sentSinceReport = 0;
  }

  private noteNoRoom(nowMs: number): void {
    this.waitMs = Math.max(this.waitMs, NO_ROOM_WAIT_MS);
    this.reportedMs = nowMs;
  }
}

function weightAfter(elapsedMs: number): number {
  return Math.max(MIN_REPORT_WEIGHT, 1 - Math.exp(-elapsedMs / AVERAGE_MS));
}
