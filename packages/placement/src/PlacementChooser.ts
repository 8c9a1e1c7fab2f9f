import type { RandomSource } from '#core/RandomSource.js';
import { estimateQueueMs } from '#placement/EstimateQueueMs.js';
import type { PlacementCandidate } from '#placement/PlacementCandidate.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { PlacementOrigin } from '#placement/PlacementOrigin.js';
import type { PlacementSpread } from '#placement/PlacementSpread.js';
import type { ResultKind } from '#placement/ResultKind.js';
import { ServerEstimate } from '#placement/ServerEstimate.js';

/**
 * Cost of leaving the failure domain and the region, in milliseconds: the round trip and the price of the bytes. A wait
 * that is longer makes a request leave.
 */
const OTHER_DOMAIN_MS = 25;
const OTHER_REGION_MS = 180;

/** Cost of a server whose requests all fail, in milliseconds. */
const FAILURE_MS = 600;

/** Difference of the costs at which one server gets 2.7 times as much as another, if nothing waits, in milliseconds. */
const LEAST_SPREAD_MS = 2.5;

/** The same as a fraction of the expected queue at the best server, as the expectation is as uncertain as it is long. */
const SPREAD_FRACTION = 0.4;

/** Assumed service time and load for each slot before any report, in milliseconds. */
const INITIAL_SERVICE_MS = 40;
const INITIAL_LOAD = 0;

/** Load that is assumed of a server without reports, as a fraction of the mean of the others, so that it is tried. */
const UNREPORTED_FRACTION = 0.8;

/** Cost of all slots being busy, in milliseconds: among free servers, those with more free slots come first. */
const BUSY_MS = 6;

/**
 * Chooses the server where a request is expected to complete first, from the results of this daemon's own requests. The
 * choice is random, with weights by service rate that fall with the expected cost: daemons that know the same do not all
 * choose the same server.
 */
export class PlacementChooser {
  private readonly origin: PlacementOrigin;
  private readonly random: RandomSource;
  private readonly estimates = new Map<string, ServerEstimate>();
  /** Estimates, costs and weights of the candidates of the current choice, kept to avoid allocation. */
  private readonly found: ServerEstimate[] = []; // eslint-disable-line no-restricted-syntax -- reused by each choice
  private values = new Float64Array(0);

  public constructor(origin: PlacementOrigin, random: RandomSource) {
    this.origin = origin;
    this.random = random;
  }

  /** Returns the index of the chosen candidate; undefined if there is none. */
  public choose(candidates: readonly PlacementCandidate[], nowMs: number): number | undefined {
    const count = candidates.length;
    if (count <= 1) return count === 0 ? undefined : 0;
    if (this.values.length < count) this.values = new Float64Array(count);
    for (let index = 0; index < count; index += 1) {
      const candidate = candidates[index];
      if (candidate !== undefined) this.found[index] = this.find(candidate.serverId);
    }
    const spreadMs = this.computeCosts(candidates, nowMs);
    return this.draw(candidates, spreadMs);
  }

  /** Notes that a request was sent to a server. */
  public noteSent(serverId: string): void {
    this.find(serverId).noteSent();
  }

  /** Notes the result of a request that was sent to a server. */
  public noteResult(serverId: string, kind: ResultKind, load: LoadReport | undefined, nowMs: number): void {
    this.find(serverId).noteResult(kind, load, nowMs);
  }

  /** Forgets all servers except the given ones. */
  public retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.estimates.keys()) if (!serverIds.has(id)) this.estimates.delete(id);
  }

  /**
   * Describes the servers that this daemon knows by reports: their number, their mean load for each slot, and the one with
   * the highest load.
   */
  public describe(candidates: readonly PlacementCandidate[]): PlacementSpread {
    const known = candidates.flatMap(({ serverId }) => {
      const estimate = this.estimates.get(serverId);
      return estimate?.isReported === true ? [{ serverId, load: estimate.meanLoad }] : [];
    });
    const total = known.reduce((sum, { load }) => sum + load, 0);
    const none = { serverId: '', load: 0 };
    const busiest = known.reduce((best, each) => (each.load > best.load ? each : best), known[0] ?? none);
    return {
      reported: known.length,
      meanLoad: known.length === 0 ? 0 : total / known.length,
      busiest: busiest.serverId,
      busiestLoad: busiest.load,
    };
  }

  private find(serverId: string): ServerEstimate {
    const known = this.estimates.get(serverId);
    if (known !== undefined) return known;
    const added = new ServerEstimate();
    this.estimates.set(serverId, added);
    return added;
  }

  /** Computes the cost of each candidate, and returns the difference of costs that counts as small. */
  private computeCosts(candidates: readonly PlacementCandidate[], nowMs: number): number {
    const { found, values } = this;
    let reported = 0;
    let load = 0;
    let serviceMs = 0;
    let slowdown = 0;
    for (let index = 0; index < candidates.length; index += 1) {
      const estimate = found[index];
      if (estimate?.isReported !== true) continue;
      reported += 1;
      load += estimate.meanLoad;
      serviceMs += estimate.meanServiceMs;
      slowdown += estimate.meanSlowdown;
    }
    const otherSlowdown = reported === 0 ? 1 : slowdown / reported;
    const otherLoad = reported === 0 ? INITIAL_LOAD : (load / reported) * UNREPORTED_FRACTION;
    const otherServiceMs = reported === 0 ? INITIAL_SERVICE_MS : serviceMs / reported;
    let lowest = Infinity;
    let queueAtLowest = 0;
    for (let index = 0; index < candidates.length; index += 1) {
      const candidate = candidates[index];
      const estimate = found[index];
      if (candidate === undefined || estimate === undefined) continue;
      const slots = Math.max(1, candidate.slots);
      estimate.predict(slots, otherLoad, otherServiceMs, otherSlowdown, nowMs);
      const queueMs = Math.max(
        estimate.reportedWaitMs,
        estimateQueueMs(estimate.busy, estimate.variance, slots, estimate.serviceMs),
      );
      const cost =
        this.distanceMs(candidate) +
        queueMs +
        estimate.serviceMs +
        (estimate.busy / slots) * BUSY_MS +
        estimate.failureRate(nowMs) * FAILURE_MS;
      values[index] = cost;
      if (cost >= lowest) continue;
      lowest = cost;
      queueAtLowest = queueMs;
    }
    return LEAST_SPREAD_MS + queueAtLowest * SPREAD_FRACTION;
  }

  private draw(candidates: readonly PlacementCandidate[], spreadMs: number): number {
    const { found, values } = this;
    const count = candidates.length;
    let lowest = Infinity;
    for (let index = 0; index < count; index += 1) lowest = Math.min(lowest, values[index] ?? Infinity);
    let total = 0;
    for (let index = 0; index < count; index += 1) {
      const rate = Math.max(1, candidates[index]?.slots ?? 1) / (found[index]?.serviceMs ?? 1);
      total += rate * Math.exp((lowest - (values[index] ?? Infinity)) / spreadMs);
      values[index] = total;
    }
    const drawn = this.random.fraction() * total;
    let index = 0;
    while (index < count - 1 && (values[index] ?? 0) <= drawn) index += 1;
    return index;
  }

  private distanceMs({ region, failureDomain }: PlacementCandidate): number {
    if (region !== this.origin.region) return OTHER_REGION_MS;
    return failureDomain === this.origin.failureDomain ? 0 : OTHER_DOMAIN_MS;
  }
}
