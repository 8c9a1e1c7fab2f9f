import type { Outcome } from '#delivery/Outcome.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { EntryEnd } from '#proxy/EntryEnd.js';
import type { RequestTimes } from '#proxy/RequestTimes.js';

const MICROS_PER_MS = 1_000;

/** Records metrics of callers' requests and of the responses of this daemon's backend server. */
export class RequestMetrics {
  public constructor(private readonly metrics: MetricsRecorder) {}

  /** Records the end of a request at the entry. */
  public noteEnd(end: EntryEnd): void {
    const { team, class: requestClass, outcome, wholeMs, code, retries } = end;
    this.noteOutcome(team, requestClass, outcome, wholeMs);
    if (retries > 0) this.metrics.count('retries', retries);
    if (code === 'quarantined') this.metrics.count('held');
  }

  /** Records the outcome of a request, which was known `wholeMs` after its arrival. */
  public noteOutcome(team: string, requestClass: string, outcome: Outcome, wholeMs: number): void {
    const micros = wholeMs * MICROS_PER_MS;
    this.metrics.countOutcome(team, requestClass, outcome);
    this.metrics.recordPhase(team, requestClass, 'whole', micros);
    if (outcome === 'delivered') this.metrics.recordPhase(team, requestClass, 'deliveredInTime', micros);
  }

  /** Records the times of a request to which the backend server responded. */
  public noteBackendTimes({ team, class: requestClass, queueMs, backendMs }: RequestTimes): void {
    this.metrics.recordPhase(team, requestClass, 'queue', queueMs * MICROS_PER_MS);
    this.metrics.recordPhase(team, requestClass, 'backend', backendMs * MICROS_PER_MS);
  }
}
