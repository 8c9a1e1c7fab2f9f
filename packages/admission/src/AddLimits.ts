import type { RateLimits } from '#admission/RateLimits.js';

/** Adds (`sign` 1) or subtracts (`sign` -1) limits. */
export function addLimits(left: RateLimits, right: RateLimits, sign: 1 | -1): RateLimits {
  return {
    ratePerSecond: left.ratePerSecond + sign * right.ratePerSecond,
    burst: left.burst + sign * right.burst,
    concurrency: left.concurrency + sign * right.concurrency,
  };
}
