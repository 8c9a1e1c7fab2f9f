import type { RateLimits } from '#admission/RateLimits.js';

/**
 * Returns the part of an entry's limits that a daemon may use without the holder. Burst and concurrency are divided in
 * whole units by rank, so that the sum over all ranks is exactly the reserved part; the rate is proportional to the
 * burst.
 * @param rank position of the daemon among `fleetSize` daemons, starting at 0 and different for each daemon
 */
export function computeReservedShare(
  limits: RateLimits,
  reservedFraction: number,
  rank: number,
  fleetSize: number,
): RateLimits {
  const burstUnits = Math.floor(limits.burst * reservedFraction);
  const burst = divideUnits(burstUnits, rank, fleetSize);
  return {
    ratePerSecond: burstUnits === 0 ? 0 : (limits.ratePerSecond * reservedFraction * burst) / burstUnits,
    burst,
    concurrency: divideUnits(Math.floor(limits.concurrency * reservedFraction), rank, fleetSize),
  };
}

function divideUnits(units: number, rank: number, parts: number): number {
  if (parts <= 0 || rank < 0 || rank >= parts) return 0;
  return Math.floor(units / parts) + (rank < units % parts ? 1 : 0);
}
