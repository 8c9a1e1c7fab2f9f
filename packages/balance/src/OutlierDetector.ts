import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import { outlierChart } from '#balance/OutlierChart.js';
import type { OutlierContext } from '#balance/OutlierContext.js';
import type { OutlierEvent } from '#balance/OutlierEvent.js';

/** Duration of a measurement window, in milliseconds. */
const WINDOW_MS = 500;

/** Minimum number of requests that a server must have ended in a window to be evaluated. */
const MIN_REQUESTS = 10;

/** A server is slow if its mean latency exceeds the median of the pool by this factor and by `MIN_EXCESS_MS`. */
const SLOW_FACTOR = 3;
const MIN_EXCESS_MS = 2;

/** A server fails if its error rate exceeds the median of the pool by this much. */
const ERROR_EXCESS = 0.3;

/** A trial fails if its latency exceeds the median by this factor and by `MIN_EXCESS_MS`. */
const TRIAL_FACTOR = 3;

const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

/** A trial whose end was not reported within this time has failed, in milliseconds. */
const TRIAL_TIMEOUT_MS = 10_000;

class ServerRecord {
  public snapshot: ChartSnapshot<OutlierContext> = {
    value: outlierChart.initial,
    context: { ejections: 0 },
  };
  public sinceMs = 0;
  public count = 0;
  public errors = 0;
  public latencySumMs = 0;
}

/**
 * Ejects servers that are much slower or fail much more often than the median of the pool. At most a third of the pool is
 * ejected, and a slowdown of all servers ejects none. An ejected server returns after one successful trial request.
 */
export class OutlierDetector {
  private readonly servers = new Map<string, ServerRecord>();
  private evaluatedMs = -Infinity;
  private medianMs = 0;
  /** Servers that are not included. The set is only rebuilt when a state changes, as it is read for each request. */
  private excludedIds: ReadonlySet<string> = new Set();

  /** Sets the members of the pool. */
  public setPool(serverIds: readonly string[]): void {
    const ids = new Set(serverIds);
    for (const id of this.servers.keys()) if (!ids.has(id)) this.servers.delete(id);
    for (const id of ids) if (!this.servers.has(id)) this.servers.set(id, new ServerRecord());
    this.refreshExcluded();
  }

  /** Notes the end of a request. */
  public observe(serverId: string, latencyMs: number, ok: boolean, nowMs: number): void {
    const server = this.servers.get(serverId);
    if (server === undefined) return;
    // Only a request that was sent since the trial began decides it.
    const isSinceTrial = nowMs - latencyMs >= server.sinceMs;
    if (server.snapshot.value === 'onTrial' && isSinceTrial) this.endTrial(server, latencyMs, ok, nowMs);
    server.count += 1;
    server.errors += ok ? 0 : 1;
    server.latencySumMs += latencyMs;
    if (nowMs - this.evaluatedMs >= WINDOW_MS) this.evaluate(nowMs);
  }

  /** Servers that must not be chosen now. */
  public excluded(nowMs: number): ReadonlySet<string> {
    if (this.excludedIds.size > 0) this.failLostTrials(nowMs);
    return this.excludedIds;
  }

  /**
   * Starts the trial of an ejected server whose ejection time has passed, and returns its id. The caller sends its next
   * repeatable request to that server. Returns undefined if no trial is due.
   */
  public nextTrial(nowMs: number): string | undefined {
    for (const id of this.excludedIds) {
      const server = this.servers.get(id);
      if (server?.snapshot.value !== 'ejected' || nowMs - server.sinceMs < computeEjectionMs(server))
        continue;
      this.advance(server, { type: 'waited' }, nowMs);
      return id;
    }
    return undefined;
  }

  /** State of a server's chart: `included`, `ejected` or `onTrial`. */
  public stateOf(serverId: string): string | undefined {
    return this.servers.get(serverId)?.snapshot.value;
  }

  /** Evaluates all servers by the requests that they ended since the last evaluation. */
  public evaluate(nowMs: number): void {
    const judged = [...this.servers.values()].filter(({ count }) => count >= MIN_REQUESTS);
    this.evaluatedMs = nowMs;
    if (judged.length === 0) return;
    this.medianMs = computeMedian(judged.map((server) => computeMeanMs(server)));
    const medianErrors = computeMedian(judged.map((server) => server.errors / server.count));
    for (const server of judged) this.judge(server, medianErrors, nowMs);
    for (const server of this.servers.values()) startWindow(server);
  }

  private judge(server: ServerRecord, medianErrors: number, nowMs: number): void {
    const slow = computeMeanMs(server) > Math.max(this.medianMs * SLOW_FACTOR, this.medianMs + MIN_EXCESS_MS);
    const failing = server.errors / server.count > medianErrors + ERROR_EXCESS;
    const hasRoom = this.excludedIds.size + 1 <= Math.floor(this.servers.size / 3);
    this.advance(server, { type: 'judged', isOutlier: slow || failing, hasRoom }, nowMs);
  }

  private endTrial(server: ServerRecord, latencyMs: number, ok: boolean, nowMs: number): void {
    const limitMs = Math.max(this.medianMs * TRIAL_FACTOR, this.medianMs + MIN_EXCESS_MS);
    this.advance(server, { type: 'trialEnded', good: ok && latencyMs <= limitMs }, nowMs);
  }

  private failLostTrials(nowMs: number): void {
    for (const id of this.excludedIds) {
      const server = this.servers.get(id);
      if (server?.snapshot.value !== 'onTrial' || nowMs - server.sinceMs < TRIAL_TIMEOUT_MS) continue;
      this.advance(server, { type: 'trialEnded', good: false }, nowMs);
    }
  }

  private refreshExcluded(): void {
    const servers = [...this.servers].filter(([, { snapshot }]) => snapshot.value !== 'included');
    this.excludedIds = new Set(servers.map(([id]) => id));
  }

  private advance(server: ServerRecord, event: OutlierEvent, nowMs: number): void {
    const before = server.snapshot.value;
    server.snapshot = advanceChart(outlierChart, server.snapshot, event).snapshot;
    if (server.snapshot.value === before) return;
    server.sinceMs = nowMs;
    this.refreshExcluded();
  }
}

function computeEjectionMs(server: ServerRecord): number {
  return Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (server.snapshot.context.ejections - 1));
}

function computeMeanMs(server: ServerRecord): number {
  return server.latencySumMs / server.count;
}

function startWindow(server: ServerRecord): void {
  server.count = 0;
  server.errors = 0;
  server.latencySumMs = 0;
}

function computeMedian(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
