import type { EntryLimits } from '#catalogue/EntryLimits.js';
import { addLimits } from '#admission/AddLimits.js';
import { computeQuotaGrantMs } from '#admission/ComputeQuotaGrantMs.js';
import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { QuotaSettings } from '#admission/QuotaSettings.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import type { RateLimits } from '#admission/RateLimits.js';
import type { TokenGrant } from '#admission/TokenGrant.js';
import type { TokenRequest } from '#admission/TokenRequest.js';
import { computeGrantSize } from '#admission/ComputeGrantSize.js';
import { TokenBucket } from '#admission/TokenBucket.js';

/** Factor by which the demand is raised before a division, so that a grant leaves room for growth. */
const DEMAND_HEADROOM = 1.25;

/** Fraction of a grant's duration after which the totals are recounted, which drops expired grants. */
const RECOUNT_AFTER_FRACTION = 0.25;

/**
 * Fraction of the free units that a client with any demand gets at least. When a client got only its measured demand,
 * the second of two requests in a row was refused although nearly the whole limit was free.
 */
const SPARE_FRACTION = 0.25;

/** Tokens that a client without a grant gets at once: for one request and its immediate repeat. */
const INITIAL_TOKENS = 2;

const ZERO_LIMITS: RateLimits = { ratePerSecond: 0, burst: 0, concurrency: 0 };

/** A grant that counts towards the limits, since the client may still use it. */
interface CountedGrant extends RateLimits {
  readonly number: number;
  /** Latest end of the grant on the holder's clock, including the bound on clock drift. */
  readonly endMs: number;
  /** Time by which all requests admitted under the grant have ended. */
  readonly requestsEndMs: number;
}

/** What one daemon may use of an entry, and its last reported demand. */
class ClientUse {
  /** Number of the last grant. */
  public number = 0;
  public grants: readonly CountedGrant[] = [];
  public demand = ZERO_LIMITS;
  public inFlight = 0;
  /** Limits that the client held from the previous holder at its first request to this one. */
  public claimed = ZERO_LIMITS;
  public sentMs = -Infinity;
  /** Upper bound of what the client may use; see `computeHeld`. */
  public held = ZERO_LIMITS;
  public seenMs = 0;
}

/** Clients of one entry, and the totals over them. */
class EntryUse {
  public readonly clients = new Map<string, ClientUse>();
  /** Tokens that accrue at the rate that no client holds, so that a new client does not have to wait for a token. */
  public spare: TokenBucket;
  public limits: EntryLimits;
  public held = ZERO_LIMITS;
  public demand = ZERO_LIMITS;
  public countedMs: number;

  public constructor(limits: EntryLimits, nowMs: number) {
    this.limits = limits;
    this.spare = new TokenBucket(0, 0, 0, nowMs);
    this.countedMs = nowMs;
  }
}

/**
 * Divides the fleet-wide limits of entries among daemons by short-lived grants. At all times the rates, bursts and
 * concurrencies that clients may use, together with the reserved part, add up to at most the limits. A grant is counted
 * until it has expired for certain, drift bound included, even if the reply that carried it was lost. Its concurrency
 * is counted until the client reports fewer requests in flight, or until the longest deadline after its last grant.
 */
export class QuotaHolder {
  private readonly settings: QuotaSettings;
  private readonly sinceMs: number;
  private readonly entries = new Map<string, EntryUse>();

  /** `nowMs` is the time since which this daemon has been the only holder. */
  public constructor(settings: QuotaSettings, nowMs: number) {
    this.settings = settings;
    this.sinceMs = nowMs;
  }

  /**
   * Returns a grant for a quota request; `limits` are the current limits of the entry. For the duration of one grant
   * after this daemon became the holder, only the grants that clients already hold are renewed, since grants of the
   * previous holder may still be in use. The caller drops requests that were sent before this daemon became the holder.
   */
  public grant(request: QuotaRequest, limits: EntryLimits, nowMs: number): QuotaGrant {
    const entry = this.findEntry(request.entry, limits, nowMs);
    const client = entry.clients.get(request.client) ?? new ClientUse();
    entry.clients.set(request.client, client);
    const ready = this.knowsAllGrants(entry, nowMs);
    if (!ready && client.grants.length === 0) client.claimed = request.held;
    this.change(entry, client, nowMs, () => noteRequest(client, request, nowMs));
    const part = ready ? this.divide(entry, client, nowMs) : client.claimed;
    this.change(entry, client, nowMs, () => this.record(entry, client, part, nowMs));
    const tokens = ready ? this.takeSpareTokens(entry, part, isFirstRequest(request), nowMs) : 0;
    const sliceMs = this.grantMsOf(entry);
    return { entry: request.entry, number: client.number, ...part, tokens, sentMs: request.sentMs, sliceMs };
  }

  /**
   * Returns tokens for a token request. All unused tokens, at the clients and here, together are at most the burst, and
   * tokens accrue at the whole rate. They are not granted until the grants of earlier holders have expired.
   */
  public grantTokens(request: TokenRequest, limits: EntryLimits, nowMs: number): TokenGrant {
    const entry = this.findEntry(request.entry, limits, nowMs);
    const client = entry.clients.get(request.client) ?? new ClientUse();
    entry.clients.set(request.client, client);
    const counted = client.held.burst;
    this.change(entry, client, nowMs, () => noteRequest(client, request, nowMs));
    this.limitSpareTokens(entry, nowMs);
    const readyInMs = Math.max(0, this.readyMs(entry) - nowMs);
    if (readyInMs === 0) entry.spare.add(Math.min(request.returned, counted));
    const tokens =
      readyInMs > 0 ? 0 : Math.floor(Math.min(request.tokens, entry.spare.available(nowMs) + 1e-9));
    entry.spare.takeUpTo(tokens, nowMs);
    const part = { ratePerSecond: 0, burst: request.held.burst + tokens, concurrency: 1 };
    this.change(entry, client, nowMs, () => this.record(entry, client, part, nowMs));
    this.limitSpareTokens(entry, nowMs);
    const { number } = client;
    const sliceMs = this.grantMsOf(entry);
    return { entry: request.entry, number, ...part, tokens, sentMs: request.sentMs, sliceMs, readyInMs };
  }

  /** Returns the upper bound of what clients may use of the entry, without the reserved part. */
  public outstanding(entryName: string): RateLimits {
    return this.entries.get(entryName)?.held ?? ZERO_LIMITS;
  }

  private findEntry(name: string, limits: EntryLimits, nowMs: number): EntryUse {
    const entry = this.entries.get(name) ?? this.createEntry(limits, nowMs);
    entry.limits = limits;
    this.entries.set(name, entry);
    if (nowMs - entry.countedMs >= this.grantMsOf(entry) * RECOUNT_AFTER_FRACTION) this.recount(entry, nowMs);
    return entry;
  }

  private createEntry(limits: EntryLimits, nowMs: number): EntryUse {
    const entry = new EntryUse(limits, nowMs);
    if (this.settings.tokens === undefined) return entry;
    const whole = this.distributable(limits);
    // Tokens have accrued since the holder became ready, even if nobody has asked for them yet.
    const { initialTokens } = this.settings.tokens;
    const sinceMs = Math.max(Number.MIN_SAFE_INTEGER, this.readyMs(entry));
    entry.spare = new TokenBucket(whole.ratePerSecond, whole.burst, initialTokens, sinceMs);
    return entry;
  }

  /** Limits the unused tokens here to the part of the burst that no client has. */
  private limitSpareTokens(entry: EntryUse, nowMs: number): void {
    const whole = this.distributable(entry.limits);
    entry.spare.resize(whole.ratePerSecond, Math.max(0, whole.burst - entry.held.burst), nowMs);
  }

  private recount(entry: EntryUse, nowMs: number): void {
    entry.countedMs = nowMs;
    entry.held = ZERO_LIMITS;
    entry.demand = ZERO_LIMITS;
    for (const [name, client] of entry.clients) {
      client.grants = client.grants.filter(({ requestsEndMs }) => requestsEndMs >= nowMs);
      if (client.grants.length === 0) client.inFlight = 0;
      if (nowMs - client.seenMs > this.grantMsOf(entry)) client.demand = ZERO_LIMITS;
      client.held = computeHeld(client, nowMs);
      if (client.grants.length === 0 && client.demand === ZERO_LIMITS) entry.clients.delete(name);
      entry.held = addLimits(entry.held, client.held, 1);
      entry.demand = addLimits(entry.demand, client.demand, 1);
    }
  }

  /** Applies a change to one client and updates the totals of its entry. */
  private change(entry: EntryUse, client: ClientUse, nowMs: number, apply: () => void): void {
    const { held, demand } = client;
    apply();
    client.held = computeHeld(client, nowMs);
    entry.held = addLimits(addLimits(entry.held, held, -1), client.held, 1);
    entry.demand = addLimits(addLimits(entry.demand, demand, -1), client.demand, 1);
  }

  private divide(entry: EntryUse, client: ClientUse, nowMs: number): RateLimits {
    const whole = this.distributable(entry.limits);
    const others = addLimits(entry.held, client.held, -1);
    const free = addLimits(whole, others, -1);
    const rateDemand = client.demand.ratePerSecond * DEMAND_HEADROOM;
    const rateTotal = entry.demand.ratePerSecond * DEMAND_HEADROOM;
    const burstPerRate = whole.burst / Math.max(whole.ratePerSecond, 1e-9);
    const burst = computeGrantSize(
      whole.burst,
      free.burst,
      rateDemand * burstPerRate,
      rateTotal * burstPerRate,
    );
    const demand = client.demand.concurrency * DEMAND_HEADROOM;
    const concurrency = computeGrantSize(
      whole.concurrency,
      free.concurrency,
      demand,
      entry.demand.concurrency * DEMAND_HEADROOM,
    );
    return {
      ratePerSecond: computeGrantSize(whole.ratePerSecond, free.ratePerSecond, rateDemand, rateTotal),
      burst: roundToUnits(addSpare(burst, free.burst), free.burst),
      // No client may exceed what it held before until all requests admitted under earlier grants have ended.
      concurrency: this.knowsAllRequests(entry, nowMs)
        ? roundToUnits(addSpare(concurrency, free.concurrency), free.concurrency)
        : Math.max(0, Math.min(client.claimed.concurrency, Math.floor(free.concurrency))),
    };
  }

  private grantMsOf(entry: EntryUse): number {
    return computeQuotaGrantMs(this.settings, entry.limits);
  }

  private knowsAllGrants(entry: EntryUse, nowMs: number): boolean {
    return nowMs >= this.readyMs(entry);
  }

  private readyMs(entry: EntryUse): number {
    return this.sinceMs + this.addDriftBound(this.grantMsOf(entry));
  }

  private knowsAllRequests(entry: EntryUse, nowMs: number): boolean {
    return nowMs >= this.sinceMs + this.addDriftBound(this.grantMsOf(entry) + entry.limits.maxDeadlineMs);
  }

  private distributable(limits: RateLimits): RateLimits {
    const { reservedFraction } = this.settings;
    return {
      ratePerSecond: limits.ratePerSecond * (1 - reservedFraction),
      burst: limits.burst - Math.floor(limits.burst * reservedFraction),
      concurrency: limits.concurrency - Math.floor(limits.concurrency * reservedFraction),
    };
  }

  private record(entry: EntryUse, client: ClientUse, part: RateLimits, nowMs: number): void {
    const endMs = nowMs + this.addDriftBound(this.grantMsOf(entry));
    const requestsEndMs = endMs + this.addDriftBound(entry.limits.maxDeadlineMs);
    client.number += 1;
    client.grants = [...client.grants, { ...part, number: client.number, endMs, requestsEndMs }];
  }

  private takeSpareTokens(entry: EntryUse, part: RateLimits, isFirst: boolean, nowMs: number): number {
    const whole = this.distributable(entry.limits);
    // A client that renews its grant still has tokens, and further ones above its burst would be lost.
    const tokens = entry.spare.takeUpTo(isFirst ? Math.min(part.burst, INITIAL_TOKENS) : 0, nowMs);
    const rate = Math.max(0, whole.ratePerSecond - entry.held.ratePerSecond);
    entry.spare.resize(rate, Math.max(0, whole.burst - entry.held.burst), nowMs);
    return tokens;
  }

  private addDriftBound(durationMs: number): number {
    return durationMs * (1 + this.settings.clockDrift);
  }
}

/**
 * Updates the state of the client from its request. Grants older than the one that it has applied are no longer usable.
 */
function noteRequest(client: ClientUse, request: QuotaRequest, nowMs: number): void {
  const newest = request.sentMs >= client.sentMs;
  client.number = Math.max(client.number, request.applied);
  client.grants = client.grants.filter(({ number }) => number >= request.applied);
  // A client that holds no valid grant and has no request in flight uses nothing of the grants that it has applied.
  const isIdle = request.inFlight === 0 && request.held.concurrency === 0 && request.held.ratePerSecond === 0;
  if (newest && isIdle) client.grants = client.grants.filter(({ number }) => number > request.applied);
  client.demand = {
    ratePerSecond: Math.max(0, request.ratePerSecond),
    burst: 0,
    concurrency: Math.max(0, request.concurrency),
  };
  // A request that was overtaken by a newer one reports an outdated state, which must not lower the count.
  client.inFlight = newest ? request.inFlight : Math.max(client.inFlight, request.inFlight);
  client.sentMs = Math.max(client.sentMs, request.sentMs);
  client.seenMs = nowMs;
}

/** Returns the upper bound of what the client may use, given that it may have applied any of the counted grants. */
function computeHeld(client: ClientUse, nowMs: number): RateLimits {
  let { ratePerSecond, burst, concurrency } = { ...ZERO_LIMITS, concurrency: client.inFlight };
  for (const grant of client.grants) {
    // Requests can outlive the grant under which they were admitted, so expired grants still count for the concurrency.
    concurrency = Math.max(concurrency, grant.concurrency);
    if (grant.endMs < nowMs) continue;
    ratePerSecond = Math.max(ratePerSecond, grant.ratePerSecond);
    burst = Math.max(burst, grant.burst);
  }
  return { ratePerSecond, burst, concurrency };
}

/** Rounds down to whole units, but to at least one for any demand: a client without a unit could admit nothing. */
function roundToUnits(value: number, free: number): number {
  const units = value <= 0 ? 0 : Math.max(1, Math.floor(value));
  return Math.max(0, Math.min(units, Math.floor(free)));
}

function addSpare(part: number, free: number): number {
  return part <= 0 ? 0 : Math.max(part, free * SPARE_FRACTION);
}

function isFirstRequest({ held }: QuotaRequest): boolean {
  return held.burst === 0;
}
