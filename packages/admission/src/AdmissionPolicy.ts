import type { AdmissionResult } from '#admission/AdmissionResult.js';
import type { RateLimits } from '#admission/RateLimits.js';

/** Decides whether a request of a catalogue entry is admitted at this daemon. Times are monotonic, in milliseconds. */
export abstract class AdmissionPolicy {
  /**
   * Admits or refuses one request of the entry `key` (see `entryKey`) within `limits`. The request takes `count`
   * tokens: 1, or its number of bytes if the limits are those of `interRegionLimits`.
   */
  public abstract admit(key: string, limits: RateLimits, nowMs: number, count?: number): AdmissionResult;

  /** Notes the end of one admitted request of the entry. */
  public abstract release(key: string): void;
}
