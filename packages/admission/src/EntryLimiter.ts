import { AdmissionPolicy } from '#admission/AdmissionPolicy.js';
import type { AdmissionResult } from '#admission/AdmissionResult.js';
import type { RateLimits } from '#admission/RateLimits.js';
import { refuseAdmission } from '#admission/RefuseAdmission.js';
import { TokenBucket } from '#admission/TokenBucket.js';

/** Retry delay that is advised when the concurrency limit of an entry is reached. */
const CONCURRENCY_RETRY_MS = 50;

/** Token bucket and requests in flight of one entry. */
class EntryUse {
  public readonly bucket: TokenBucket;
  public inFlight = 0;
  public limits: RateLimits;

  public constructor(limits: RateLimits, nowMs: number) {
    this.limits = limits;
    this.bucket = new TokenBucket(limits.ratePerSecond, limits.burst, limits.burst, nowMs);
  }
}

/** Enforces the limits of each entry for a single daemon, by a token bucket and a count of requests in flight. */
export class EntryLimiter extends AdmissionPolicy {
  private readonly entries = new Map<string, EntryUse>();

  public override admit(key: string, limits: RateLimits, nowMs: number, count = 1): AdmissionResult {
    const use = this.findUse(key, limits, nowMs);
    if (use.inFlight >= limits.concurrency) return refuseAdmission('concurrencyLimit', CONCURRENCY_RETRY_MS);
    if (!use.bucket.take(nowMs, count)) return refuseAdmission('rateLimit', use.bucket.waitMs(nowMs, count));
    use.inFlight += 1;
    return { kind: 'admit' };
  }

  public override release(key: string): void {
    const use = this.entries.get(key);
    if (use !== undefined && use.inFlight > 0) use.inFlight -= 1;
  }

  /** Returns the number of admitted requests of the entry that were not yet released. */
  public inFlight(key: string): number {
    return this.entries.get(key)?.inFlight ?? 0;
  }

  /** Removes the state of entries that are no longer in the catalogue and have no request in flight. */
  public retain(keys: ReadonlySet<string>): void {
    for (const [key, use] of this.entries) if (!keys.has(key) && use.inFlight === 0) this.entries.delete(key);
  }

  private findUse(key: string, limits: RateLimits, nowMs: number): EntryUse {
    const use = this.entries.get(key);
    if (use === undefined) return this.addUse(key, limits, nowMs);
    if (use.limits !== limits) {
      use.limits = limits;
      use.bucket.resize(limits.ratePerSecond, limits.burst, nowMs);
    }
    return use;
  }

  private addUse(key: string, limits: RateLimits, nowMs: number): EntryUse {
    const use = new EntryUse(limits, nowMs);
    this.entries.set(key, use);
    return use;
  }
}
