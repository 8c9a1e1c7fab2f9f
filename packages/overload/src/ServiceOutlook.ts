import type { EntryFacts } from '#overload/EntryFacts.js';
import type { Fullness } from '#overload/Fullness.js';
import type { ServerLoad } from '#overload/ServerLoad.js';

/** Age from which a report closes a server no longer, in milliseconds. */
const MAX_AGE_MS = 1_000;

/** Shortest and longest time for which a refusal closes a server, in milliseconds: room may come earlier than expected. */
const MIN_CLOSED_MS = 20;
const MAX_CLOSED_MS = 200;

/**
 * Fraction of the target latency that the daemon beside the server reserves when it queues a request, and for which a request
 * may wait there in any case.
 */
const RESERVE_FRACTION = 0.2;

/** One request of this many that would be refused is forwarded, so that the outlook is refreshed. */
const PROBE_INTERVAL = 8;

/** Number of refusals that are kept for a server: one for each kind of request, up to this limit. */
const MAX_CLOSURES = 16;

interface Closure {
  readonly priority: number;
  readonly targetLatencyMs: number;
  readonly sinceMs: number;
  readonly untilMs: number;
}

interface KnownServer {
  readonly load: ServerLoad | undefined;
  readonly reportedMs: number;
  readonly sentSinceReport: number;
  readonly closures: readonly Closure[];
}

const UNKNOWN: KnownServer = { load: undefined, reportedMs: -Infinity, sentSinceReport: 0, closures: [] };

/**
 * What an entry daemon knows of the capacity of a service, from the results of its own requests. Times are monotonic, in
 * milliseconds.
 */
export class ServiceOutlook {
  private readonly servers = new Map<string, KnownServer>();
  private refusalsSinceProbe = 0;

  /** Notes that a request was sent to a server. */
  public noteSent(serverId: string): void {
    const known = this.find(serverId);
    this.servers.set(serverId, { ...known, sentSinceReport: known.sentSinceReport + 1 });
  }

  /** Notes a load report. One with a free slot supersedes earlier refusals. */
  public noteReport(serverId: string, load: ServerLoad, nowMs: number): void {
    const closures = hasFreeSlot(load, 0) ? [] : this.find(serverId).closures;
    this.servers.set(serverId, { load, reportedMs: nowMs, sentSinceReport: 0, closures });
  }

  /** Notes that a server refused a request for lack of capacity. `retryAfterMs` is 0 if it expects none in time. */
  public noteFull(
    serverId: string,
    { priority, targetLatencyMs }: Pick<EntryFacts, 'priority' | 'targetLatencyMs'>,
    retryAfterMs: number,
    nowMs: number,
  ): void {
    const known = this.find(serverId);
    const closedMs = retryAfterMs > 0 ? Math.max(MIN_CLOSED_MS, retryAfterMs) : MAX_CLOSED_MS;
    const closure = {
      priority,
      targetLatencyMs,
      sinceMs: nowMs,
      untilMs: nowMs + Math.min(MAX_CLOSED_MS, closedMs),
    };
    const others = known.closures.filter(
      (each) =>
        each.untilMs > nowMs && (each.priority !== priority || each.targetLatencyMs !== targetLatencyMs),
    );
    this.servers.set(serverId, { ...known, closures: [closure, ...others].slice(0, MAX_CLOSURES) });
  }

  /** Whether, and for how long, a server is known to have no room for a request; undefined if it may have some. */
  public findFullness(serverId: string, facts: EntryFacts, nowMs: number): Fullness | undefined {
    const known = this.servers.get(serverId);
    if (known === undefined) return undefined;
    const closure = known.closures.find((each) => closes(each, facts, nowMs));
    if (closure !== undefined)
      return { reopensInMs: closure.untilMs - nowMs, ageMs: nowMs - closure.sinceMs };
    return reportedFullness(known, facts, nowMs);
  }

  /** Whether the next request that would be refused is to be forwarded. */
  public takeProbe(): boolean {
    this.refusalsSinceProbe = (this.refusalsSinceProbe + 1) % PROBE_INTERVAL;
    return this.refusalsSinceProbe === 0;
  }

  /** Average service time of the servers with a report, in milliseconds; undefined without any. */
  public get serviceMs(): number | undefined {
    const times = [...this.servers.values()].flatMap(({ load }) =>
      load === undefined ? [] : load.serviceMs,
    );
    return times.length === 0 ? undefined : times.reduce((sum, each) => sum + each, 0) / times.length;
  }

  /** Forgets all servers except the given ones. */
  public retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.servers.keys()) if (!serverIds.has(id)) this.servers.delete(id);
  }

  private find(serverId: string): KnownServer {
    return this.servers.get(serverId) ?? UNKNOWN;
  }
}

function hasFreeSlot({ running, queued, slots }: ServerLoad, sent: number): boolean {
  return running + queued + sent < slots;
}

/** A refusal says nothing about requests that are more urgent, or that may wait for longer. */
function closes({ priority, targetLatencyMs, untilMs }: Closure, facts: EntryFacts, nowMs: number): boolean {
  return untilMs > nowMs && facts.priority >= priority && facts.targetLatencyMs <= targetLatencyMs;
}

/** The reported wait is assumed to shrink as fast as time passes, so that an old report refuses less. */
function reportedFullness(
  { load, reportedMs, sentSinceReport }: KnownServer,
  { priority, targetLatencyMs, targetMs }: EntryFacts,
  nowMs: number,
): Fullness | undefined {
  const ageMs = nowMs - reportedMs;
  if (load === undefined || ageMs > MAX_AGE_MS || hasFreeSlot(load, sentSinceReport)) return undefined;
  if (load.leastUrgent !== undefined && priority < load.leastUrgent) return undefined;
  const limitMs = targetMs - targetLatencyMs * RESERVE_FRACTION;
  const waitMs = load.waitMs - ageMs;
  const excessMs = nowMs + waitMs + load.serviceMs - limitMs;
  return excessMs > 0 && waitMs > targetLatencyMs * RESERVE_FRACTION
    ? { reopensInMs: excessMs, ageMs }
    : undefined;
}
