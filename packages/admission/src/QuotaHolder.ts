import type { EntryLimits } from '#catalogue/EntryLimits.js';
import { addLimits } from '#admission/AddLimits.js';
import { computeQuotaGrantMs } from '#admission/ComputeQuotaGrantMs.js';
import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { QuotaSettings } from '#admission/QuotaSettings.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import type { RateLimits } from '#admission/RateLimits.js';
import { sliceOf } from '#admission/SliceOf.js';
import { TokenBucket } from '#admission/TokenBucket.js';

/** Factor of the demand that a slice covers while the limit is not contended, so that growth finds room. */
const HEADROOM = 1.25;

/** Part of a slice's time after which the totals are recounted, which releases slices that have ended. */
const RECOUNT_AFTER = 0.25;

/**
 * Part of the units that nobody holds which a client with any demand receives. With its measured demand alone, the second
 * of two requests in a row was refused although nearly the whole limit was free.
 */
const SPARE_PART = 0.25;

/** Tokens that a client without a slice receives at once, for a request and its immediate repeat. */
const FIRST_TOKENS = 2;

const NOTHING: RateLimits = { ratePerSecond: 0, burst: 0, concurrency: 0 };

interface Given extends RateLimits {
  readonly number: number;
  /** End of the slice by the holder's clock, with the drift bound. */
  readonly endMs: number;
  /** Time by which all requests admitted under the slice have ended. */
  readonly idleMs: number;
}

class ClientUse {
  public number = 0;
  public given: readonly Given[] = [];
  public demand = NOTHING;
  public inFlight = 0;
  /** What the client held of the previous holder when it first asked. */
  public claim = NOTHING;
  public sentMs = -Infinity;
  /** The most that the client may use; see `heldBy`. */
  public held = NOTHING;
  public seenMs = 0;
}

class EntryUse {
  public readonly clients = new Map<string, ClientUse>();
  /** Tokens that accrue at the rate that no client holds, so that a new client need not wait for its first one. */
  public readonly spare: TokenBucket;
  public limits: EntryLimits;
  public held = NOTHING;
  public demand = NOTHING;
  public countedMs: number;

  public constructor(limits: EntryLimits, nowMs: number) {
    this.limits = limits;
    this.spare = new TokenBucket(0, 0, 0, nowMs);
    this.countedMs = nowMs;
  }
}

/**
 * Hands out slices of the fleet-wide limits of the entries that this daemon holds. At every moment the sum of the rate,
 * burst and concurrency that clients may use, together with the reserved part, is at most the limit. A slice is
 * counted until its end by this clock with the drift bound, whatever became of the reply that carried it. Concurrency
 * is counted until the client reports fewer requests in flight, or until the longest deadline after its last slice.
 */
export class QuotaHolder {
  private readonly settings: QuotaSettings;
  private readonly sinceMs: number;
  private readonly entries = new Map<string, EntryUse>();

  /** `nowMs` is the time from which this daemon is the only holder. */
  public constructor(settings: QuotaSettings, nowMs: number) {
    this.settings = settings;
    this.sinceMs = nowMs;
  }

  /**
   * Answers an ask with a slice; `limits` are the current limits of the entry. For one slice length after it became the
   * holder it renews only what clients already hold, since slices of the previous holder may still be used. The caller
   * drops asks that were sent before this daemon became the holder.
   */
  public grant(ask: QuotaRequest, limits: EntryLimits, nowMs: number): QuotaGrant {
    const entry = this.findEntry(ask.entry, limits, nowMs);
    const client = entry.clients.get(ask.client) ?? new ClientUse();
    entry.clients.set(ask.client, client);
    const ready = this.knowsAllSlices(entry, nowMs);
    if (!ready && client.given.length === 0) client.claim = ask.held;
    this.change(entry, client, nowMs, () => noteAsk(client, ask, nowMs));
    const part = ready ? this.divide(entry, client, nowMs) : client.claim;
    this.change(entry, client, nowMs, () => this.record(entry, client, part, nowMs));
    const tokens = ready ? this.takeSpareTokens(entry, part, isFirstAsk(ask), nowMs) : 0;
    const sliceMs = this.sliceMsOf(entry);
    return { entry: ask.entry, number: client.number, ...part, tokens, sentMs: ask.sentMs, sliceMs };
  }

  /** The most that clients may use of the entry, without the reserved part. */
  public outstanding(entryName: string): RateLimits {
    return this.entries.get(entryName)?.held ?? NOTHING;
  }

  private findEntry(name: string, limits: EntryLimits, nowMs: number): EntryUse {
    const entry = this.entries.get(name) ?? new EntryUse(limits, nowMs);
    entry.limits = limits;
    this.entries.set(name, entry);
    if (nowMs - entry.countedMs >= this.sliceMsOf(entry) * RECOUNT_AFTER) this.recount(entry, nowMs);
    return entry;
  }

  private recount(entry: EntryUse, nowMs: number): void {
    entry.countedMs = nowMs;
    entry.held = NOTHING;
    entry.demand = NOTHING;
    for (const [name, client] of entry.clients) {
      client.given = client.given.filter(({ idleMs }) => idleMs >= nowMs);
      if (client.given.length === 0) client.inFlight = 0;
      if (nowMs - client.seenMs > this.sliceMsOf(entry)) client.demand = NOTHING;
      client.held = heldBy(client, nowMs);
      if (client.given.length === 0 && client.demand === NOTHING) entry.clients.delete(name);
      entry.held = addLimits(entry.held, client.held, 1);
      entry.demand = addLimits(entry.demand, client.demand, 1);
    }
  }

  /** Applies a change to one client and keeps the totals of its entry. */
  private change(entry: EntryUse, client: ClientUse, nowMs: number, apply: () => void): void {
    const { held, demand } = client;
    apply();
    client.held = heldBy(client, nowMs);
    entry.held = addLimits(addLimits(entry.held, held, -1), client.held, 1);
    entry.demand = addLimits(addLimits(entry.demand, demand, -1), client.demand, 1);
  }

  private divide(entry: EntryUse, client: ClientUse, nowMs: number): RateLimits {
    const whole = this.distributable(entry.limits);
    const others = addLimits(entry.held, client.held, -1);
    const free = addLimits(whole, others, -1);
    const rateDemand = client.demand.ratePerSecond * HEADROOM;
    const rateTotal = entry.demand.ratePerSecond * HEADROOM;
    const burstPerRate = whole.burst / Math.max(whole.ratePerSecond, 1e-9);
    const burst = sliceOf(whole.burst, free.burst, rateDemand * burstPerRate, rateTotal * burstPerRate);
    const demand = client.demand.concurrency * HEADROOM;
    const concurrency = sliceOf(
      whole.concurrency,
      free.concurrency,
      demand,
      entry.demand.concurrency * HEADROOM,
    );
    return {
      ratePerSecond: sliceOf(whole.ratePerSecond, free.ratePerSecond, rateDemand, rateTotal),
      burst: wholeUnits(addSpare(burst, free.burst), free.burst),
      // Until all requests admitted under slices of the previous holder have ended, no client may run more.
      concurrency: this.knowsAllRequests(entry, nowMs)
        ? wholeUnits(addSpare(concurrency, free.concurrency), free.concurrency)
        : Math.max(0, Math.min(client.claim.concurrency, Math.floor(free.concurrency))),
    };
  }

  private sliceMsOf(entry: EntryUse): number {
    return computeQuotaGrantMs(this.settings, entry.limits);
  }

  private knowsAllSlices(entry: EntryUse, nowMs: number): boolean {
    return nowMs >= this.sinceMs + this.guardedMs(this.sliceMsOf(entry));
  }

  private knowsAllRequests(entry: EntryUse, nowMs: number): boolean {
    return nowMs >= this.sinceMs + this.guardedMs(this.sliceMsOf(entry) + entry.limits.maxDeadlineMs);
  }

  private distributable(limits: RateLimits): RateLimits {
    const { reserve } = this.settings;
    return {
      ratePerSecond: limits.ratePerSecond * (1 - reserve),
      burst: limits.burst - Math.floor(limits.burst * reserve),
      concurrency: limits.concurrency - Math.floor(limits.concurrency * reserve),
    };
  }

  private record(entry: EntryUse, client: ClientUse, part: RateLimits, nowMs: number): void {
    const endMs = nowMs + this.guardedMs(this.sliceMsOf(entry));
    const idleMs = endMs + this.guardedMs(entry.limits.maxDeadlineMs);
    client.number += 1;
    client.given = [...client.given, { ...part, number: client.number, endMs, idleMs }];
  }

  private takeSpareTokens(entry: EntryUse, part: RateLimits, isFirst: boolean, nowMs: number): number {
    const whole = this.distributable(entry.limits);
    // A client that renews its slice still has tokens, and further ones above its burst would be lost.
    const tokens = entry.spare.takeUpTo(isFirst ? Math.min(part.burst, FIRST_TOKENS) : 0, nowMs);
    const rate = Math.max(0, whole.ratePerSecond - entry.held.ratePerSecond);
    entry.spare.resize(rate, Math.max(0, whole.burst - entry.held.burst), nowMs);
    return tokens;
  }

  private guardedMs(durationMs: number): number {
    return durationMs * (1 + this.settings.clockDrift);
  }
}

/** Updates what is known of the client. Slices older than the one it applied can no longer be used. */
function noteAsk(client: ClientUse, ask: QuotaRequest, nowMs: number): void {
  const newest = ask.sentMs >= client.sentMs;
  client.number = Math.max(client.number, ask.applied);
  client.given = client.given.filter(({ number }) => number >= ask.applied);
  // Without a usable slice and a request in flight, nothing is used under the slices that the client has applied.
  const isIdle = ask.inFlight === 0 && ask.held.concurrency === 0 && ask.held.ratePerSecond === 0;
  if (newest && isIdle) client.given = client.given.filter(({ number }) => number > ask.applied);
  client.demand = {
    ratePerSecond: Math.max(0, ask.ratePerSecond),
    burst: 0,
    concurrency: Math.max(0, ask.concurrency),
  };
  // An ask that was overtaken by a newer one reports a past state, which may not lower the count.
  client.inFlight = newest ? ask.inFlight : Math.max(client.inFlight, ask.inFlight);
  client.sentMs = Math.max(client.sentMs, ask.sentMs);
  client.seenMs = nowMs;
}

/** The most that the client may use: it has applied any one of the slices that are still counted. */
function heldBy(client: ClientUse, nowMs: number): RateLimits {
  let { ratePerSecond, burst, concurrency } = { ...NOTHING, concurrency: client.inFlight };
  for (const given of client.given) {
    // Requests outlive the slice under which they were admitted, so ended slices count for the concurrency.
    concurrency = Math.max(concurrency, given.concurrency);
    if (given.endMs < nowMs) continue;
    ratePerSecond = Math.max(ratePerSecond, given.ratePerSecond);
    burst = Math.max(burst, given.burst);
  }
  return { ratePerSecond, burst, concurrency };
}

/** At least one unit for any demand, since a client without a unit could admit nothing. */
function wholeUnits(value: number, free: number): number {
  const units = value <= 0 ? 0 : Math.max(1, Math.floor(value));
  return Math.max(0, Math.min(units, Math.floor(free)));
}

function addSpare(part: number, free: number): number {
  return part <= 0 ? 0 : Math.max(part, free * SPARE_PART);
}

function isFirstAsk({ held }: QuotaRequest): boolean {
  return held.burst === 0;
}
