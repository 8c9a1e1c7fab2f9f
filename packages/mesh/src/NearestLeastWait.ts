import type { RandomSource } from '#core/RandomSource.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import { ServerChooser } from '#mesh/ServerChooser.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { ServerScore } from '#mesh/ServerScore.js';

/** Costs of leaving the failure domain and the region: delay and the price of bytes, as milliseconds of waiting. */
const OTHER_DOMAIN_MS = 25;
const OTHER_REGION_MS = 180;

/** Waiting that a server that always fails is as bad as, in milliseconds. */
const FAILURE_MS = 600;

/** Weight of one result in the average of failures, and the time in which it fades, in milliseconds. */
const FAILURE_WEIGHT = 0.25;
const FAILURE_FADE_MS = 3_000;

/** Scores that differ by less are as good as equal, in milliseconds. */
const EQUAL_MS = 6;

const UNKNOWN: ServerScore = {
  load: undefined,
  reportedMs: 0,
  inFlight: 0,
  sentSince: 0,
  failure: 0,
  failedMs: 0,
};

/**
 * Chooses the server with the least expected time: its wait by the last report and what was sent since, its work, its
 * distance and its failures.
 */
export class NearestLeastWait extends ServerChooser {
  private readonly place: DaemonIdentity;
  private readonly random: RandomSource;
  private readonly scores = new Map<string, ServerScore>();

  public constructor(place: DaemonIdentity, random: RandomSource) {
    super();
    this.place = place;
    this.random = random;
  }

  public override choose(candidates: readonly ServerEntry[], nowMs: number): ServerEntry | undefined {
    const scored = candidates.map((server) => ({ server, costMs: this.costMs(server, nowMs) }));
    const least = Math.min(...scored.map(({ costMs }) => costMs));
    const best = scored.filter(({ costMs }) => costMs <= least + EQUAL_MS);
    return this.random.pick(best)?.server;
  }

  public override noteSent(serverId: string): void {
    const score = this.find(serverId);
    this.scores.set(serverId, {
      ...score,
      inFlight: score.inFlight + 1,
      sentSince: score.sentSince + 1,
    });
  }

  public override noteResult(serverId: string, result: BackendResult, nowMs: number): void {
    const score = this.find(serverId);
    const failed = isFailure(result) ? 1 : 0;
    const faded = fadedFailure(score, nowMs);
    const inFlight = Math.max(0, score.inFlight - 1);
    const reported = result.load === undefined ? {} : { load: result.load, reportedMs: nowMs, sentSince: 0 };
    this.scores.set(serverId, {
      ...score,
      ...reported,
      inFlight,
      failure: faded + FAILURE_WEIGHT * (failed - faded),
      failedMs: nowMs,
    });
  }

  public override retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.scores.keys()) if (!serverIds.has(id)) this.scores.delete(id);
  }

  private find(serverId: string): ServerScore {
    return this.scores.get(serverId) ?? UNKNOWN;
  }

  private costMs(server: ServerEntry, nowMs: number): number {
    const score = this.find(server.serverId);
    return this.distanceMs(server) + fadedFailure(score, nowMs) * FAILURE_MS + waitMs(score, server, nowMs);
  }

  private distanceMs({ region, failureDomain }: ServerEntry): number {
    if (region !== this.place.region) return OTHER_REGION_MS;
    return failureDomain === this.place.failureDomain ? 0 : OTHER_DOMAIN_MS;
  }
}

function fadedFailure({ failure, failedMs }: ServerScore, nowMs: number): number {
  return failure * Math.exp(-(nowMs - failedMs) / FAILURE_FADE_MS);
}

function waitMs(score: ServerScore, server: ServerEntry, nowMs: number): number {
  const { load, reportedMs, sentSince, inFlight } = score;
  const slots = Math.max(1, server.slots);
  if (load === undefined) return inFlight * 2;
  const ageMs = nowMs - reportedMs;
  // A report loses its meaning while nothing is heard; our own orders stay certain.
  const busy = Math.max(inFlight, (load.running + load.queued) * Math.exp(-ageMs / 1_000) + sentSince);
  const serviceMs = load.serviceMs * load.slowdown;
  const excess = busy - slots;
  const queueMs = excess <= 0 ? 0 : (excess * serviceMs) / slots;
  const reportedWaitMs = Math.max(0, load.waitMs - ageMs);
  return Math.max(queueMs, reportedWaitMs) + serviceMs + (busy / slots) * EQUAL_MS;
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
  return result.answer.status >= 500;
}
