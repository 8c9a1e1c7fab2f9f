import { decideHedge } from '#balance/DecideHedge.js';
import { RetryBudget } from '#balance/RetryBudget.js';
import type { HedgeChoice } from '#hedging/HedgeChoice.js';
import type { HedgeResult } from '#hedging/HedgeResult.js';
import type { HedgeServer } from '#hedging/HedgeServer.js';
import type { HedgeSettings } from '#hedging/HedgeSettings.js';
import { KindLatencies } from '#hedging/KindLatencies.js';
import { ServiceRoom } from '#hedging/ServiceRoom.js';
import type { SlowRequest } from '#hedging/SlowRequest.js';

const MEDIAN = 50;

/**
 * Decides when a second copy of a request is sent, and to which server. Answers a light load with a few slow servers: while a
 * service is short of capacity, copies would make its other requests wait, so none is sent. Times are monotonic, in
 * milliseconds.
 */
export class HedgePolicy {
  private readonly settings: HedgeSettings;
  private readonly budget: RetryBudget;
  private readonly latencies = new KindLatencies();
  private readonly room = new ServiceRoom();

  public constructor(settings: HedgeSettings) {
    this.settings = settings;
    this.budget = new RetryBudget(settings.fraction, 0);
  }

  /** Counts a request, which adds to the copies that the limit allows. */
  public noteRequest(service: string, nowMs: number): void {
    this.budget.noteRequest(service, '', nowMs);
  }

  /** Notes the result of one copy that was sent at `sentMs`. */
  public noteResult(
    request: Pick<SlowRequest<HedgeServer>, 'service' | 'kind' | 'server' | 'sentMs'>,
    result: HedgeResult,
    nowMs: number,
  ): void {
    const { service, kind, server, sentMs } = request;
    this.room.note(service, server.serverId, result, nowMs);
    if (result.type === 'answered') this.latencies.find(kind).add(nowMs - sentMs);
  }

  /** Decides on a request with one copy; a copy that is sent is charged to the limit. */
  public decide<S extends HedgeServer>(request: SlowRequest<S>, nowMs: number): HedgeChoice<S> {
    const { service, kind, server, candidates, sentMs, dueMs } = request;
    const window = this.latencies.find(kind);
    const delayMs = window.percentile(this.settings.percentile);
    const usualMs = window.percentile(MEDIAN) ?? 0;
    if (delayMs !== undefined && nowMs >= sentMs + delayMs) {
      const target = this.chooseServer(service, server, candidates, nowMs);
      if (target === undefined) return { kind: 'denied', reason: 'room' };
      // A copy that cannot end before the deadline gains nothing.
      if (nowMs + usualMs >= dueMs) return { kind: 'none' };
      const decision = this.decideBudget(request, delayMs, nowMs);
      return decision.kind === 'hedge'
        ? { kind: 'hedge', server: target }
        : { kind: 'denied', reason: 'limit' };
    }
    const decision = this.decideBudget(request, delayMs, nowMs);
    return decision.kind === 'wait' ? decision : { kind: 'none' };
  }

  /** Expected time that the first copy would still have taken when the second one ended, in milliseconds. */
  public estimateGainMs(kind: string, elapsedMs: number): number {
    return this.latencies.find(kind).meanRestMs(elapsedMs);
  }

  /** Notes the servers that may get new requests, and forgets all others. */
  public retain(serverIds: ReadonlySet<string>, nowMs: number): void {
    this.room.retain(serverIds, nowMs);
  }

  private decideBudget(
    { service, sentMs, dueMs }: SlowRequest<HedgeServer>,
    p95Ms: number | undefined,
    nowMs: number,
  ): ReturnType<typeof decideHedge> {
    const facts = { team: service, class: '', repeatable: true, sentMs, deadlineMs: dueMs, p95Ms, hedges: 0 };
    return decideHedge(facts, this.budget, nowMs);
  }

  private chooseServer<S extends HedgeServer>(
    service: string,
    first: S,
    candidates: readonly S[],
    nowMs: number,
  ): S | undefined {
    if (!this.room.isServing(service, nowMs)) return undefined;
    let best: S | undefined;
    let bestSlots = 0;
    for (const candidate of candidates) {
      if (candidate.serverId === first.serverId) continue;
      const slots = this.room.countFreeSlots(candidate.serverId, nowMs);
      if (slots <= bestSlots) continue;
      best = candidate;
      bestSlots = slots;
    }
    return best;
  }
}
