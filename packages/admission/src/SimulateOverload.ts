import { RandomSource } from '#core/RandomSource.js';
import { BackendQueue } from '#admission/BackendQueue.js';
import type { OverloadResult } from '#admission/OverloadResult.js';
import type { OverloadStream } from '#admission/OverloadStream.js';
import type { QueueDiscipline } from '#admission/QueueDiscipline.js';
import type { QueueResult } from '#admission/QueueResult.js';

const SLOTS = 6;
const MEAN_SERVICE_MS = 5;
const DEADLINE_MS = 100;
const DURATION_MS = 30_000;
const MAX_WAITING = 1_024;

/** Step of the simulated time. */
const STEP_MS = 0.1;

/** Interval at which late requests are removed from the queue. */
const EXPIRY_INTERVAL_MS = 5;

class Stream {
  public readonly stream: OverloadStream;
  public nextMs = 0;
  public requests = 0;
  public onTime = 0;
  public late = 0;
  public refused = 0;
  public serviceMs = 0;

  public constructor(stream: OverloadStream) {
    this.stream = stream;
  }
}

interface Pending {
  readonly stream: Stream;
  readonly arrivedMs: number;
  readonly serviceMs: number;
}

/** Simulates several request streams at one overloaded backend server with the given queue discipline. */
export function simulateOverload(
  seed: number,
  streams: readonly OverloadStream[],
  discipline: QueueDiscipline,
): readonly OverloadResult[] {
  return new Simulation(seed, streams, discipline).run();
}

class Simulation {
  private readonly random: RandomSource;
  private readonly queue: BackendQueue;
  private readonly streams: readonly Stream[];
  private readonly pending = new Map<string, Pending>();
  private readonly ends = new Map<number, readonly string[]>();
  private count = 0;

  public constructor(seed: number, streams: readonly OverloadStream[], discipline: QueueDiscipline) {
    this.random = new RandomSource(seed);
    this.queue = new BackendQueue(discipline, SLOTS, MAX_WAITING);
    this.streams = streams.map((stream) => new Stream(stream));
  }

  public run(): readonly OverloadResult[] {
    for (let step = 0; step * STEP_MS < DURATION_MS; step += 1) {
      const nowMs = step * STEP_MS;
      for (const id of this.ends.get(step) ?? []) this.finish(id, nowMs);
      this.ends.delete(step);
      for (const stream of this.streams) this.arriveUntil(stream, nowMs);
      if (step % (EXPIRY_INTERVAL_MS / STEP_MS) === 0) this.apply(this.queue.expire(nowMs), nowMs);
    }
    return this.streams.map(summarize);
  }

  private arriveUntil(stream: Stream, nowMs: number): void {
    const meanGapMs = MEAN_SERVICE_MS / (SLOTS * stream.stream.load);
    for (; stream.nextMs <= nowMs; stream.nextMs += this.exponential(meanGapMs)) {
      const id = String(this.count);
      this.count += 1;
      stream.requests += 1;
      this.pending.set(id, { stream, arrivedMs: nowMs, serviceMs: this.exponential(MEAN_SERVICE_MS) });
      const { team, priority, share } = stream.stream;
      const deadlineMs = nowMs + DEADLINE_MS;
      const request = { id, team, class: team, priority, share, deadlineMs, exclusive: false };
      this.apply(this.queue.arrive(request, nowMs), nowMs);
    }
  }

  private apply(results: readonly QueueResult[], nowMs: number): void {
    for (const { kind, id } of results) {
      const pending = this.pending.get(id);
      if (pending === undefined) continue;
      if (kind === 'start') {
        const step = Math.ceil((nowMs + pending.serviceMs) / STEP_MS);
        this.ends.set(step, [...(this.ends.get(step) ?? []), id]);
      } else {
        pending.stream.refused += 1;
        this.pending.delete(id);
      }
    }
  }

  private finish(id: string, nowMs: number): void {
    const pending = this.pending.get(id);
    if (pending === undefined) return;
    this.pending.delete(id);
    pending.stream.serviceMs += pending.serviceMs;
    if (nowMs <= pending.arrivedMs + DEADLINE_MS) pending.stream.onTime += 1;
    else pending.stream.late += 1;
    this.apply(this.queue.finish(id, nowMs), nowMs);
  }

  private exponential(mean: number): number {
    return -mean * Math.log(1 - this.random.fraction() * (1 - Number.EPSILON));
  }
}

function summarize(stream: Stream): OverloadResult {
  const { requests } = stream;
  return {
    team: stream.stream.team,
    onTime: stream.onTime / requests,
    late: stream.late / requests,
    refused: stream.refused / requests,
    used: stream.serviceMs / (SLOTS * DURATION_MS),
  };
}
