import { AdmissionPolicy } from '#admission/AdmissionPolicy.js';
import type { AdmissionResult } from '#admission/AdmissionResult.js';
import { computeQuotaGrantMs } from '#admission/ComputeQuotaGrantMs.js';
import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { QuotaSettings } from '#admission/QuotaSettings.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import type { RateLimits } from '#admission/RateLimits.js';
import type { TokenRequest } from '#admission/TokenRequest.js';
import { refuseAdmission } from '#admission/RefuseAdmission.js';
import { computeReservedShare } from '#admission/ComputeReservedShare.js';
import { TokenBucket } from '#admission/TokenBucket.js';

/**
 * Shortest time over which demand is measured. Measured over 75 ms, one request of an idle entry counted as 13 a
 * second, and a few such daemons took all units of a small entry.
 */
const DEMAND_WINDOW_MS = 1_000;

/** Fraction of a grant's duration after which the next grant is requested. */
const RENEW_FRACTION = 0.3;

/** Time in which a quota request is answered: one round trip between regions. */
const REQUEST_ROUND_TRIP_MS = 50;

/** Fraction of a grant's duration after which an unanswered quota request is repeated. */
const RETRY_FRACTION = 0.1;

/** State of one entry at this daemon. */
class EntryUse {
  public limits: RateLimits;
  /** The share of the limits that this daemon may use without a grant. */
  public reserved: RateLimits;
  public readonly reservedBucket: TokenBucket;
  public readonly bucket: TokenBucket;
  public grant: QuotaGrant | undefined;
  /** Number of the last grant that was applied. */
  public applied = 0;
  /** Whether the holder may still count units for this daemon that it no longer uses, and has to be told so. */
  public needsReleaseReport = false;
  public inFlight = 0;
  public requestedMs = -Infinity;
  /** Tokens that requests needed since the last quota request, whether or not they were admitted. */
  public arrived = 0;
  public peakInFlight = 0;
  /** Requests refused by the concurrency limit since the last quota request. */
  public concurrencyRefusals = 0;
  /** Time of the last quota request, from which demand is measured. */
  public sinceMs: number;
  /** Demand that the last quota request reported. */
  public ratePerSecond = 0;

  public constructor(limits: RateLimits, reserved: RateLimits, nowMs: number) {
    this.limits = limits;
    this.reserved = reserved;
    this.reservedBucket = new TokenBucket(reserved.ratePerSecond, reserved.burst, 0, nowMs);
    this.bucket = new TokenBucket(0, 0, 0, nowMs);
    this.sinceMs = nowMs;
  }
}

function heldLimits(grant: QuotaGrant | undefined): RateLimits {
  const { ratePerSecond, burst, concurrency } = grant ?? { ratePerSecond: 0, burst: 0, concurrency: 0 };
  return { ratePerSecond, burst, concurrency };
}

/** Returns whether requests arrived since the last quota request or are in flight. */
function isUsed(use: EntryUse): boolean {
  return use.arrived > 0 || use.inFlight > 0;
}

/** Returns whether a grant suffices for at least one request. */
function admitsAny(grant: QuotaGrant | undefined): boolean {
  return grant !== undefined && grant.burst >= 1 && grant.concurrency >= 1;
}

/**
 * Admits requests within the quota grants that this daemon got from the holders of the entries, and within its reserved
 * share, which needs no holder. `nextRequests` returns the quota requests to send; their replies go to `apply`.
 */
export class QuotaClient extends AdmissionPolicy {
  private readonly settings: QuotaSettings;
  private readonly client: string;
  private readonly entries = new Map<string, EntryUse>();
  private rank = 0;
  private fleetSize = Infinity;

  public constructor(settings: QuotaSettings, client: string) {
    super();
    this.settings = settings;
    this.client = client;
  }

  /** Sets the rank of this daemon among all daemons of the fleet. Until then its reserved share is zero. */
  public setPosition(rank: number, fleetSize: number, nowMs: number): void {
    this.rank = rank;
    this.fleetSize = fleetSize;
    for (const use of this.entries.values()) this.setLimits(use, use.limits, nowMs);
  }

  public override admit(key: string, limits: RateLimits, nowMs: number, count = 1): AdmissionResult {
    const use = this.findUse(key, limits, nowMs);
    this.expireGrant(use, nowMs);
    use.arrived += count;
    use.peakInFlight = Math.max(use.peakInFlight, use.inFlight + 1);
    const concurrency = (use.grant?.concurrency ?? 0) + use.reserved.concurrency;
    if (use.inFlight >= concurrency) {
      use.concurrencyRefusals += 1;
      return refuseAdmission('concurrencyLimit', REQUEST_ROUND_TRIP_MS);
    }
    if (!use.bucket.take(nowMs, count) && !use.reservedBucket.take(nowMs, count)) {
      return this.refuseRate(use, nowMs, count);
    }
    use.inFlight += 1;
    return { kind: 'admit' };
  }

  public override release(key: string): void {
    const use = this.entries.get(key);
    if (use !== undefined && use.inFlight > 0) use.inFlight -= 1;
  }

  /** Returns the token of a request that was admitted and then refused as not run. */
  public refund(key: string): void {
    const use = this.entries.get(key);
    if (use === undefined) return;
    if (use.grant === undefined) use.reservedBucket.add(1);
    else use.bucket.add(1);
  }

  /** Returns whether the entry has a grant that has not expired. */
  public hasGrant(key: string, nowMs: number): boolean {
    const grant = this.entries.get(key)?.grant;
    return grant !== undefined && nowMs < grant.sentMs + grant.sliceMs;
  }

  /** Returns whether a quota request is due at once, because requests arrive and there is no usable grant. */
  public needsRequest(key: string, nowMs: number): boolean {
    const use = this.entries.get(key);
    return use !== undefined && use.arrived > 0 && !admitsAny(use.grant) && this.mayRequest(use, nowMs);
  }

  /** Returns the quota requests that are due. Grants of entries in use are renewed before they expire. */
  public nextRequests(nowMs: number): readonly QuotaRequest[] {
    const due = [...this.entries].filter(([key, use]) => this.isDue(key, use, nowMs));
    return due.map(([key, use]) => this.buildRequest(key, use, nowMs));
  }

  /** Applies the reply of a holder. A reply that is older than the last applied one is ignored. */
  public apply(grant: QuotaGrant, nowMs: number): void {
    const use = this.entries.get(grant.entry);
    if (use === undefined || grant.number <= use.applied) return;
    this.expireGrant(use, nowMs);
    use.applied = grant.number;
    if (nowMs >= grant.sentMs + grant.sliceMs) return;
    use.grant = grant;
    use.needsReleaseReport = grant.ratePerSecond > 0 || grant.concurrency > 0;
    use.bucket.resize(grant.ratePerSecond, grant.burst, nowMs);
    use.bucket.add(grant.tokens);
  }

  /** Takes a token for a request that was refused before and has waited for one; returns whether it got one. */
  public retry(key: string, nowMs: number): boolean {
    const use = this.entries.get(key);
    if (use === undefined) return false;
    this.expireGrant(use, nowMs);
    return use.bucket.take(nowMs) || use.reservedBucket.take(nowMs);
  }

  /** Returns the number of unused tokens from the holder, which may be a fraction. */
  public tokens(key: string, nowMs: number): number {
    const use = this.entries.get(key);
    if (use === undefined) return 0;
    this.expireGrant(use, nowMs);
    return use.bucket.available(nowMs);
  }

  /**
   * Creates a request for `tokens`, or, if that is 0, for the return of all unused ones, which are given up at once.
   */
  public requestTokens(key: string, limits: RateLimits, tokens: number, nowMs: number): TokenRequest {
    const use = this.findUse(key, limits, nowMs);
    this.expireGrant(use, nowMs);
    const returned = tokens > 0 ? 0 : use.bucket.takeUpTo(Infinity, nowMs);
    const held = { ratePerSecond: 0, burst: use.bucket.available(nowMs), concurrency: 0 };
    const { client } = this;
    const { applied } = use;
    const demand = { ratePerSecond: 0, concurrency: 0, inFlight: 0 };
    return { entry: key, client, applied, held, ...demand, sentMs: nowMs, tokens, returned };
  }

  /** Returns the number of admitted requests of the entry that were not yet released. */
  public inFlight(key: string): number {
    return this.entries.get(key)?.inFlight ?? 0;
  }

  /** Removes the state of entries that are no longer in the catalogue and have no request in flight. */
  public retain(keys: ReadonlySet<string>): void {
    for (const [key, use] of this.entries) if (!keys.has(key) && use.inFlight === 0) this.entries.delete(key);
  }

  private isDue(key: string, use: EntryUse, nowMs: number): boolean {
    if (this.needsRequest(key, nowMs)) return true;
    if (use.needsReleaseReport && !isUsed(use) && !this.hasGrant(key, nowMs))
      return this.mayRequest(use, nowMs);
    if (use.grant === undefined || !isUsed(use)) return false;
    return nowMs >= use.grant.sentMs + use.grant.sliceMs * RENEW_FRACTION && this.mayRequest(use, nowMs);
  }

  private mayRequest(use: EntryUse, nowMs: number): boolean {
    return (
      nowMs - use.requestedMs >=
      Math.max(REQUEST_ROUND_TRIP_MS, computeQuotaGrantMs(this.settings, use.limits) * RETRY_FRACTION)
    );
  }

  private buildRequest(key: string, use: EntryUse, nowMs: number): QuotaRequest {
    this.expireGrant(use, nowMs);
    const isReport = use.grant === undefined && !isUsed(use);
    if (isReport) use.needsReleaseReport = false;
    const elapsedMs = Math.max(DEMAND_WINDOW_MS, nowMs - use.sinceMs);
    const measured = Math.max((use.arrived * 1_000) / elapsedMs, use.ratePerSecond / 2);
    const ratePerSecond = isReport ? 0 : measured;
    // Refused requests count as demand, but can at most double it, since most of them are repeats.
    const concurrency = isReport ? 0 : use.peakInFlight + Math.min(use.concurrencyRefusals, use.peakInFlight);
    use.ratePerSecond = ratePerSecond;
    use.requestedMs = nowMs;
    use.sinceMs = nowMs;
    use.arrived = 0;
    use.concurrencyRefusals = 0;
    use.peakInFlight = use.inFlight;
    const { client } = this;
    const { applied } = use;
    // The reserved share is accounted for separately, so only what exceeds it is in flight under grants.
    const inFlight = Math.max(0, use.inFlight - use.reserved.concurrency);
    const held = heldLimits(use.grant);
    return { entry: key, client, applied, held, ratePerSecond, concurrency, inFlight, sentMs: nowMs };
  }

  private refuseRate(use: EntryUse, nowMs: number, count: number): AdmissionResult {
    const waitMs = Math.min(use.bucket.waitMs(nowMs, count), use.reservedBucket.waitMs(nowMs, count));
    return refuseAdmission('rateLimit', use.grant === undefined ? REQUEST_ROUND_TRIP_MS : waitMs);
  }

  private expireGrant(use: EntryUse, nowMs: number): void {
    if (use.grant === undefined || nowMs < use.grant.sentMs + use.grant.sliceMs) return;
    use.grant = undefined;
    use.bucket.resize(0, 0, nowMs);
  }

  private findUse(key: string, limits: RateLimits, nowMs: number): EntryUse {
    const known = this.entries.get(key);
    if (known?.limits === limits) return known;
    const use = known ?? new EntryUse(limits, { ratePerSecond: 0, burst: 0, concurrency: 0 }, nowMs);
    this.entries.set(key, use);
    this.setLimits(use, limits, nowMs);
    return use;
  }

  private setLimits(use: EntryUse, limits: RateLimits, nowMs: number): void {
    use.limits = limits;
    use.reserved = computeReservedShare(limits, this.settings.reservedFraction, this.rank, this.fleetSize);
    use.reservedBucket.resize(use.reserved.ratePerSecond, use.reserved.burst, nowMs);
  }
}
