import { ManualClock } from '#core/ManualClock.js';
import { Logger } from '#core/Logger.js';
import { RandomSource } from '#core/RandomSource.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import type { HedgeableRequest } from '#hedging/HedgeableRequest.js';
import type { HedgeResult } from '#hedging/HedgeResult.js';
import type { HedgeServer } from '#hedging/HedgeServer.js';
import { HedgeTask } from '#hedging/HedgeTask.js';

interface LoadPlan {
  /** Fraction of the requests that may be hedged. */
  readonly fraction: number;
  /** Demand as a fraction of the capacity. */
  readonly utilization: number;
  readonly requests: number;
}

interface LoadOutcome {
  readonly meanMs: number;
  readonly p99Ms: number;
  /** Copies that the servers began, for each request. */
  readonly copies: number;
  /** Second copies that were sent from the time at which all slots were in use until the last request. */
  readonly hedgesUnderLoad: number;
}

const SERVERS = ['a', 'b', 'c', 'd', 'e', 'f'];
const SLOTS = 4;
const SERVICE_MS = 50;
const DEADLINE_MS = 10_000;

/** Requests after which an overloaded service has no free slot. */
const WARM_UP_REQUESTS = 300;

/** One run in fifty is held up, as by other work on its VM. */
const STALL_PROBABILITY = 0.02;
const STALL_FACTOR = 12;

/** Backend server that runs a limited number of requests at once and queues the others. */
class QueueingServer {
  private readonly clock: ManualClock;
  private readonly random: RandomSource;
  private running = 0;
  private started = 0;
  private queue: readonly { readonly id: string; readonly reply: (result: HedgeResult) => void }[] = [];
  private readonly cancelled = new Set<string>();

  public constructor(clock: ManualClock, random: RandomSource) {
    this.clock = clock;
    this.random = random;
  }

  public get runs(): number {
    return this.started;
  }

  public accept(id: string, reply: (result: HedgeResult) => void): void {
    this.queue = [...this.queue, { id, reply }];
    this.startNext();
  }

  /** Ends a request: the slot is free at once. */
  public cancel(id: string): void {
    const before = this.queue.length;
    this.queue = this.queue.filter((each) => each.id !== id);
    if (this.queue.length < before) return;
    this.cancelled.add(id);
    this.end();
  }

  private startNext(): void {
    const [next, ...rest] = this.queue;
    if (next === undefined || this.running >= SLOTS) return;
    this.queue = rest;
    this.running += 1;
    this.started += 1;
    const isStalled = this.random.fraction() < STALL_PROBABILITY;
    this.clock.schedule(SERVICE_MS * (isStalled ? STALL_FACTOR : 0.5 + this.random.fraction()), () => {
      if (this.cancelled.delete(next.id)) return;
      this.end();
      const load = { running: this.running, queued: this.queue.length, slots: SLOTS };
      next.reply({ type: 'answered', response: { status: 200 }, load });
    });
  }

  private end(): void {
    this.running -= 1;
    this.startNext();
  }
}

/** Plays requests in an even stream to six servers of four slots, without a network, and returns what callers get. */
export async function playHedgeLoad(plan: LoadPlan): Promise<LoadOutcome> {
  const clock = new ManualClock();
  const random = new RandomSource(7);
  const servers = new Map(SERVERS.map((id) => [id, new QueueingServer(clock, random)]));
  const candidates: readonly HedgeServer[] = SERVERS.map((serverId) => ({ serverId }));
  const metrics = new MetricsRecorder();
  const countHedges = (): number => metrics.snapshotBuckets().counters.hedges ?? 0;
  const task = new HedgeTask<HedgeableRequest, HedgeServer, HedgeResult>({
    settings: { fraction: plan.fraction, percentile: 95 },
    clock,
    logger: new Logger('test'),
    metrics,
    gains: new PhaseRecorder(),
    send: (request, server, reply) =>
      servers.get(server.serverId)?.accept(`${request.callerRequest.id}/${request.copy}`, reply),
    cancel: (id, server) => {
      for (const copy of [1, 2]) servers.get(server.serverId)?.cancel(`${id}/${copy}`);
    },
  });
  const latencies: number[] = [];
  const intervalMs = SERVICE_MS / (SERVERS.length * SLOTS * plan.utilization);
  let hedgesBefore = 0;
  for (let index = 0; index < plan.requests; index += 1) {
    if (index === WARM_UP_REQUESTS) hedgesBefore = countHedges();
    const sentMs = clock.monotonicMs();
    const server = candidates[index % candidates.length] ?? { serverId: 'a' };
    task.post({
      type: 'send',
      request: { callerRequest: { id: String(index) }, service: 's', dueMs: sentMs + DEADLINE_MS, copy: 1 },
      server,
      offer: { kind: 'k', candidates },
      reply: () => latencies.push(clock.monotonicMs() - sentMs),
    });
    await advance(clock, intervalMs);
  }
  const hedgesUnderLoad = countHedges() - hedgesBefore;
  for (let index = 0; index < 100; index += 1) await advance(clock, SERVICE_MS);
  const sorted = latencies.toSorted((left, right) => left - right);
  const runs = [...servers.values()].reduce((sum, each) => sum + each.runs, 0);
  return {
    meanMs: sorted.reduce((sum, each) => sum + each, 0) / sorted.length,
    p99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
    copies: runs / plan.requests,
    hedgesUnderLoad,
  };
}

async function advance(clock: ManualClock, ms: number): Promise<void> {
  clock.advance(ms);
  for (let index = 0; index < 4; index += 1) await Promise.resolve();
}
