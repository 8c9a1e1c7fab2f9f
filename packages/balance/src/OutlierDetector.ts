import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import { outlierChart } from '#balance/OutlierChart.js';
import type { OutlierContext } from '#balance/OutlierContext.js';
import type { OutlierEvent } from '#balance/OutlierEvent.js';

/** Duration of one measurement, in milliseconds. */
const WINDOW_MS = 500;

/** Requests that a server must have ended in a window to be judged. */
const MIN_REQUESTS = 10;

/** A server is slow if its mean latency exceeds the median of the pool by this factor and by `MIN_EXCESS_MS`. */
const SLOW_FACTOR = 3;
const MIN_EXCESS_MS = 2;

/** A server fails if its part of errors exceeds the median of the pool by this much. */
const ERROR_EXCESS = 0.3;

/** A trial that takes longer than the median by this factor is not good. */
const TRIAL_FACTOR = 3;

const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

/** A trial whose end was never reported is given up after this time, in milliseconds. */
const TRIAL_TIMEOUT_MS = 10_000;

class Server {
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
 * Ejects servers that are much slower or fail much more often than the median of the pool. At most a third of the pool
 * is ejected, so a slowdown of all ejects none. An ejected server returns by one good trial request.
 */
export class OutlierDetector {
  private readonly servers = new Map<string, Server>();
  private evaluatedMs = -Infinity;
  private medianMs = 0;
  /** Servers that are not included; replaced when one changes, since it is read for each request. */
  private out: ReadonlySet<string> = new Set();

  /** Sets the members of the pool. */
  public setPool(serverIds: readonly string[]): void {
    const ids = new Set(serverIds);
    for (const id of this.servers.keys()) if (!ids.has(id)) this.servers.delete(id);
    for (const id of ids) if (!this.servers.has(id)) this.servers.set(id, new Server());
    this.refreshOut();
  }

  /** Notes the end of a request. */
  public observe(serverId: string, latencyMs: number, ok: boolean, nowMs: number): void {
    const server = this.servers.get(serverId);
    if (server === undefined) return;
    // Requests that were sent before the trial say nothing about it.
    const sinceTrial = nowMs - latencyMs >= server.sinceMs;
    if (server.snapshot.value === 'onTrial' && sinceTrial) this.endTrial(server, latencyMs, ok, nowMs);
    server.count += 1;
    server.errors += ok ? 0 : 1;
    server.latencySumMs += latencyMs;
    if (nowMs - this.evaluatedMs >= WINDOW_MS) this.evaluate(nowMs);
  }

  /** Servers that must not be chosen now. */
  public excluded(nowMs: number): ReadonlySet<string> {
    if (this.out.size > 0) this.endLostTrials(nowMs);
    return this.out;
  }

  /**
   * Begins the trial of an ejected server whose time has passed, and returns its id: the next request that may be
   * repeated goes there. Returns undefined if no trial is due.
   */
  public nextTrial(nowMs: number): string | undefined {
    for (const id of this.out) {
      const server = this.servers.get(id);
      if (server?.snapshot.value !== 'ejected' || nowMs - server.sinceMs < ejectionMs(server)) continue;
      this.advance(server, { type: 'waited' }, nowMs);
      return id;
    }
    return undefined;
  }

  /** State of a server's chart: `included`, `ejected` or `onTrial`. */
  public stateOf(serverId: string): string | undefined {
    return this.servers.get(serverId)?.snapshot.value;
  }

  /** Judges all servers by what they ended since the last evaluation. */
  public evaluate(nowMs: number): void {
    const judged = [...this.servers.values()].filter(({ count }) => count >= MIN_REQUESTS);
    this.evaluatedMs = nowMs;
    if (judged.length === 0) return;
    this.medianMs = median(judged.map((server) => meanOf(server)));
    const medianErrors = median(judged.map((server) => server.errors / server.count));
    for (const server of judged) this.judge(server, medianErrors, nowMs);
    for (const server of this.servers.values()) startWindow(server);
  }

  private judge(server: Server, medianErrors: number, nowMs: number): void {
    const slow = meanOf(server) > Math.max(this.medianMs * SLOW_FACTOR, this.medianMs + MIN_EXCESS_MS);
    const failing = server.errors / server.count > medianErrors + ERROR_EXCESS;
    const hasRoom = this.out.size + 1 <= Math.floor(this.servers.size / 3);
    this.advance(server, { type: 'judged', isOutlier: slow || failing, hasRoom }, nowMs);
  }

  private endTrial(server: Server, latencyMs: number, ok: boolean, nowMs: number): void {
    const limitMs = Math.max(this.medianMs * TRIAL_FACTOR, this.medianMs + MIN_EXCESS_MS);
    this.advance(server, { type: 'trialEnded', good: ok && latencyMs <= limitMs }, nowMs);
  }

  private endLostTrials(nowMs: number): void {
    for (const id of this.out) {
      const server = this.servers.get(id);
      if (server?.snapshot.value !== 'onTrial' || nowMs - server.sinceMs < TRIAL_TIMEOUT_MS) continue;
      this.advance(server, { type: 'trialEnded', good: false }, nowMs);
    }
  }

  private refreshOut(): void {
    const servers = [...this.servers].filter(([, { snapshot }]) => snapshot.value !== 'included');
    this.out = new Set(servers.map(([id]) => id));
  }

  private advance(server: Server, event: OutlierEvent, nowMs: number): void {
    const before = server.snapshot.value;
    server.snapshot = advanceChart(outlierChart, server.snapshot, event).snapshot;
    if (server.snapshot.value === before) return;
    server.sinceMs = nowMs;
    this.refreshOut();
  }
}

function ejectionMs(server: Server): number {
  return Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (server.snapshot.context.ejections - 1));
}

function meanOf(server: Server): number {
  return server.latencySumMs / server.count;
}

function startWindow(server: Server): void {
  server.count = 0;
  server.errors = 0;
  server.latencySumMs = 0;
}

function median(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
