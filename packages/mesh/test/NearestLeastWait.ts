import type { RandomSource } from '#core/RandomSource.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import { ServerChooser } from '#mesh/ServerChooser.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { ServerScore } from './ServerScore.js';

/** Costs of leaving the failure domain and the region: the added latency and the price of the bytes, in milliseconds. */
const OTHER_DOMAIN_COST_MS = 25;
const OTHER_REGION_COST_MS = 180;

/** Cost of a server whose requests all fail, in milliseconds of wait. */
const FAILURE_COST_MS = 600;

/** Weight of one result in the moving average of failures, and the time constant of its decay, in milliseconds. */
const FAILURE_WEIGHT = 0.25;
const FAILURE_DECAY_MS = 3_000;

/** Servers whose costs differ by at most this are chosen at random, in milliseconds. */
const EQUAL_COST_MS = 6;

const UNKNOWN_SCORE: ServerScore = {
  load: undefined,
  reportedMs: 0,
  inFlight: 0,
  sentSinceReport: 0,
  failureRate: 0,
  failureUpdatedMs: 0,
};

/**
 * Chooses the server with the lowest expected cost: the wait by its last load report and the requests sent since, its
 * service time, its distance and its failure rate.
 */
export class NearestLeastWait extends ServerChooser {
  private readonly identity: DaemonIdentity;
  private readonly random: RandomSource;
  private readonly scores = new Map<string, ServerScore>();

  public constructor(identity: DaemonIdentity, random: RandomSource) {
    super();
    this.identity = identity;
    this.random = random;
  }

  public override choose(candidates: readonly ServerEntry[], nowMs: number): ServerEntry | undefined {
    const scored = candidates.map((server) => ({ server, costMs: this.costMs(server, nowMs) }));
    const lowestMs = Math.min(...scored.map(({ costMs }) => costMs));
    const best = scored.filter(({ costMs }) => costMs <= lowestMs + EQUAL_COST_MS);
    return this.random.pick(best)?.server;
  }

  public override noteSent(serverId: string): void {
    const score = this.findScore(serverId);
    this.scores.set(serverId, {
      ...score,
      inFlight: score.inFlight + 1,
      sentSinceReport: score.sentSinceReport + 1,
    });
  }

  public override noteResult(serverId: string, result: BackendResult, nowMs: number): void {
    const score = this.findScore(serverId);
    const failed = isFailure(result) ? 1 : 0;
    const failureRate = failureAt(score, nowMs);
    const inFlight = Math.max(0, score.inFlight - 1);
    const reported =
      result.load === undefined ? {} : { load: result.load, reportedMs: nowMs, sentSinceReport: 0 };
    this.scores.set(serverId, {
      ...score,
      ...reported,
      inFlight,
      failureRate: failureRate + FAILURE_WEIGHT * (failed - failureRate),
      failureUpdatedMs: nowMs,
    });
  }

  public override retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.scores.keys()) if (!serverIds.has(id)) this.scores.delete(id);
  }

  private findScore(serverId: string): ServerScore {
    return this.scores.get(serverId) ?? UNKNOWN_SCORE;
  }

  private costMs(server: ServerEntry, nowMs: number): number {
    const score = this.findScore(server.serverId);
    return this.distanceMs(server) + failureAt(score, nowMs) * FAILURE_COST_MS + timeMs(score, server, nowMs);
  }

  private distanceMs({ region, failureDomain }: ServerEntry): number {
    if (region !== this.identity.region) return OTHER_REGION_COST_MS;
    return failureDomain === this.identity.failureDomain ? 0 : OTHER_DOMAIN_COST_MS;
  }
}

function failureAt({ failureRate, failureUpdatedMs }: ServerScore, nowMs: number): number {
  return failureRate * Math.exp(-(nowMs - failureUpdatedMs) / FAILURE_DECAY_MS);
}

function timeMs(score: ServerScore, server: ServerEntry, nowMs: number): number {
  const { load, reportedMs, sentSinceReport, inFlight } = score;
  const slots = Math.max(1, server.slots);
  if (load === undefined) return inFlight * 2;
  const ageMs = nowMs - reportedMs;
  // The reported load decays with the age of the report; the requests of this daemon in flight are known exactly.
  const busy = Math.max(inFlight, (load.running + load.queued) * Math.exp(-ageMs / 1_000) + sentSinceReport);
  const serviceMs = load.serviceMs * load.slowdown;
  const excess = busy - slots;
  const queueMs = excess <= 0 ? 0 : (excess * serviceMs) / slots;
  const reportedWaitMs = Math.max(0, load.waitMs - ageMs);
  return Math.max(queueMs, reportedWaitMs) + serviceMs + (busy / slots) * EQUAL_COST_MS;
}

function isFailure(result: BackendResult): boolean {
  if (result.type === 'lost') return result.code !== 'cancelled';
  if (result.type === 'refused')
    return (
      result.arrived ||
      result.code === 'unreachable' ||
      result.code === 'noServer' ||
      result.code === 'stopping'
    );
  return result.response.status >= 500;
}
