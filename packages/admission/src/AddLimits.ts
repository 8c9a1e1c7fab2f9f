import type { RateLimits } from '#admission/RateLimits.js';

/** Adds `right` to `left` (`sign` 1) or subtracts it (`sign` -1). */
export function addLimits(left: RateLimits, right: RateLimits, sign: 1 | -1): RateLimits {
  return {
    ratePerSecond: left.ratePerSecond + sign * right.ratePerSecond,
    burst: left.burst + sign * right.burst,
    concurrency: left.concurrency + sign * right.concurrency,
  };
}
