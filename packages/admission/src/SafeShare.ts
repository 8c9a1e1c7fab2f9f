import type { RateLimits } from '#admission/RateLimits.js';

/**
 * The part of an entry's limits that a daemon may use without the holder. Burst and concurrency are divided in whole
 * units by rank, so that the sum over all ranks is exactly the reserved part; the rate follows the units of burst.
 * @param rank position of the daemon among `fleetSize`, different for each daemon; from 0
 */
export function safeShare(limits: RateLimits, reserve: number, rank: number, fleetSize: number): RateLimits {
  const burstUnits = Math.floor(limits.burst * reserve);
  const burst = divideUnits(burstUnits, rank, fleetSize);
  return {
    ratePerSecond: burstUnits === 0 ? 0 : (limits.ratePerSecond * reserve * burst) / burstUnits,
    burst,
    concurrency: divideUnits(Math.floor(limits.concurrency * reserve), rank, fleetSize),
  };
}

function divideUnits(units: number, rank: number, parts: number): number {
  if (parts <= 0 || rank < 0 || rank >= parts) return 0;
  return Math.floor(units / parts) + (rank < units % parts ? 1 : 0);
}
