import { AdmissionPolicy } from '#admission/AdmissionPolicy.js';
import type { AdmissionResult } from '#admission/AdmissionResult.js';
import { computeQuotaGrantMs } from '#admission/ComputeQuotaGrantMs.js';
import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { QuotaSettings } from '#admission/QuotaSettings.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import type { RateLimits } from '#admission/RateLimits.js';
import { refuseAdmission } from '#admission/RefuseAdmission.js';
import { safeShare } from '#admission/SafeShare.js';
import { TokenBucket } from '#admission/TokenBucket.js';

/**
 * Shortest time over which demand is measured, in milliseconds. Over 75 ms, one request of an idle entry counted as 13 a
 * second, and a few such daemons took all units of a small entry.
 */
const DEMAND_WINDOW_MS = 1_000;

/** Part of a slice's time after which the next one is asked for. */
const ASK_AFTER = 0.3;

/** Time after which a request without a slice may try again, in milliseconds; one round trip between regions. */
const ASK_ROUND_TRIP_MS = 50;

/** Part of a slice's time after which an unanswered ask is repeated. */
const RETRY_AFTER = 0.1;

class EntryUse {
  public limits: RateLimits;
  public safe: RateLimits;
  public readonly safeBucket: TokenBucket;
  public readonly bucket: TokenBucket;
  public slice: QuotaGrant | undefined;
  public applied = 0;
  /** Whether the holder counts units that this daemon no longer uses. */
  public owesReport = false;
  public inFlight = 0;
  public askedMs = -Infinity;
  /** Tokens that were wanted since the last ask, given or not. */
  public arrived = 0;
  public peakInFlight = 0;
  /** Requests refused since the last ask because too many were in flight. */
  public crowded = 0;
  public sinceMs: number;
  public ratePerSecond = 0;

  public constructor(limits: RateLimits, safe: RateLimits, nowMs: number) {
    this.limits = limits;
    this.safe = safe;
    this.safeBucket = new TokenBucket(safe.ratePerSecond, safe.burst, 0, nowMs);
    this.bucket = new TokenBucket(0, 0, 0, nowMs);
    this.sinceMs = nowMs;
  }
}

function heldLimits(slice: QuotaGrant | undefined): RateLimits {
  const { ratePerSecond, burst, concurrency } = slice ?? { ratePerSecond: 0, burst: 0, concurrency: 0 };
  return { ratePerSecond, burst, concurrency };
}

/** Whether requests arrived since the last ask or are in flight. */
function isUsed(use: EntryUse): boolean {
  return use.arrived > 0 || use.inFlight > 0;
}

/** Whether a slice admits anything. */
function isUsable(slice: QuotaGrant | undefined): boolean {
  return slice !== undefined && slice.burst >= 1 && slice.concurrency >= 1;
}

/**
 * Admits requests within the slices that the holders of the entries gave to this daemon, and within its safe share
 * while there is no slice. `nextAsks` gives the messages to send; their replies go to `apply`.
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

  /** Sets the rank of this daemon among all of the fleet. Until then the safe share is empty. */
  public setPosition(rank: number, fleetSize: number, nowMs: number): void {
    this.rank = rank;
    this.fleetSize = fleetSize;
    for (const use of this.entries.values()) this.setLimits(use, use.limits, nowMs);
  }

  public override admit(key: string, limits: RateLimits, nowMs: number, count = 1): AdmissionResult {
    const use = this.findUse(key, limits, nowMs);
    this.endSlice(use, nowMs);
    use.arrived += count;
    use.peakInFlight = Math.max(use.peakInFlight, use.inFlight + 1);
    const concurrency = (use.slice?.concurrency ?? 0) + use.safe.concurrency;
    if (use.inFlight >= concurrency) {
      use.crowded += 1;
      return refuseAdmission('concurrencyLimit', ASK_ROUND_TRIP_MS);
    }
    if (!use.bucket.take(nowMs, count) && !use.safeBucket.take(nowMs, count)) {
      return this.refuseRate(use, nowMs, count);
    }
    use.inFlight += 1;
    return { kind: 'admit' };
  }

  public override release(key: string): void {
    const use = this.entries.get(key);
    if (use !== undefined && use.inFlight > 0) use.inFlight -= 1;
  }

  /** Gives back the token of a request that was admitted and then refused as not run. */
  public refund(key: string): void {
    const use = this.entries.get(key);
    if (use === undefined) return;
    if (use.slice === undefined) use.safeBucket.add(1);
    else use.bucket.add(1);
  }

  /** Whether the entry has a slice that has not ended. */
  public hasSlice(key: string, nowMs: number): boolean {
    const slice = this.entries.get(key)?.slice;
    return slice !== undefined && nowMs < slice.sentMs + slice.sliceMs;
  }

  /** Whether an ask is due before the usual time, because requests arrive and there is no usable slice. */
  public needsAsk(key: string, nowMs: number): boolean {
    const use = this.entries.get(key);
    return use !== undefined && use.arrived > 0 && !isUsable(use.slice) && this.mayAsk(use, nowMs);
  }

  /** Returns the asks that are due: for entries in use, ahead of the end of their slices. */
  public nextAsks(nowMs: number): readonly QuotaRequest[] {
    const due = [...this.entries].filter(([key, use]) => this.isDue(key, use, nowMs));
    return due.map(([key, use]) => this.buildAsk(key, use, nowMs));
  }

  /** Applies the reply of a holder; older replies than the newest applied one are ignored. */
  public apply(slice: QuotaGrant, nowMs: number): void {
    const use = this.entries.get(slice.entry);
    if (use === undefined || slice.number <= use.applied) return;
    this.endSlice(use, nowMs);
    use.applied = slice.number;
    if (nowMs >= slice.sentMs + slice.sliceMs) return;
    use.slice = slice;
    use.owesReport = slice.ratePerSecond > 0 || slice.concurrency > 0;
    use.bucket.resize(slice.ratePerSecond, slice.burst, nowMs);
    use.bucket.add(slice.tokens);
  }

  /** Number of admitted requests of the entry that were not released. */
  public inFlight(key: string): number {
    return this.entries.get(key)?.inFlight ?? 0;
  }

  /** Forgets entries that are no longer in the catalogue and have no request in flight. */
  public retain(keys: ReadonlySet<string>): void {
    for (const [key, use] of this.entries) if (!keys.has(key) && use.inFlight === 0) this.entries.delete(key);
  }

  private isDue(key: string, use: EntryUse, nowMs: number): boolean {
    if (this.needsAsk(key, nowMs)) return true;
    if (use.owesReport && !isUsed(use) && !this.hasSlice(key, nowMs)) return this.mayAsk(use, nowMs);
    if (use.slice === undefined || !isUsed(use)) return false;
    return nowMs >= use.slice.sentMs + use.slice.sliceMs * ASK_AFTER && this.mayAsk(use, nowMs);
  }

  private mayAsk(use: EntryUse, nowMs: number): boolean {
    return (
      nowMs - use.askedMs >=
      Math.max(ASK_ROUND_TRIP_MS, computeQuotaGrantMs(this.settings, use.limits) * RETRY_AFTER)
    );
  }

  private buildAsk(key: string, use: EntryUse, nowMs: number): QuotaRequest {
    this.endSlice(use, nowMs);
    const isReport = use.slice === undefined && !isUsed(use);
    if (isReport) use.owesReport = false;
    const elapsedMs = Math.max(DEMAND_WINDOW_MS, nowMs - use.sinceMs);
    const measured = Math.max((use.arrived * 1_000) / elapsedMs, use.ratePerSecond / 2);
    const ratePerSecond = isReport ? 0 : measured;
    // Refused requests count as demand, but at most double it, since most of them are repeats.
    const concurrency = isReport ? 0 : use.peakInFlight + Math.min(use.crowded, use.peakInFlight);
    use.ratePerSecond = ratePerSecond;
    use.askedMs = nowMs;
    use.sinceMs = nowMs;
    use.arrived = 0;
    use.crowded = 0;
    use.peakInFlight = use.inFlight;
    const { client } = this;
    const { applied } = use;
    // The safe share is counted apart, so only what exceeds it is in flight under slices.
    const inFlight = Math.max(0, use.inFlight - use.safe.concurrency);
    const held = heldLimits(use.slice);
    return { entry: key, client, applied, held, ratePerSecond, concurrency, inFlight, sentMs: nowMs };
  }

  private refuseRate(use: EntryUse, nowMs: number, count: number): AdmissionResult {
    const waitMs = Math.min(use.bucket.waitMs(nowMs, count), use.safeBucket.waitMs(nowMs, count));
    return refuseAdmission('rateLimit', use.slice === undefined ? ASK_ROUND_TRIP_MS : waitMs);
  }

  private endSlice(use: EntryUse, nowMs: number): void {
    if (use.slice === undefined || nowMs < use.slice.sentMs + use.slice.sliceMs) return;
    use.slice = undefined;
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
    use.safe = safeShare(limits, this.settings.reserve, this.rank, this.fleetSize);
    use.safeBucket.resize(use.safe.ratePerSecond, use.safe.burst, nowMs);
  }
}
