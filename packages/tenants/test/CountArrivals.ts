import type { SimulatedQuotas } from './SimulatedQuotas.js';

/** Number of requests in one step of 5 ms at a rate. */
export function countArrivals(run: SimulatedQuotas, ratePerSecond: number): number {
  const exact = ratePerSecond / 200;
  return Math.floor(exact) + (run.integer(1_000_000) < (exact % 1) * 1_000_000 ? 1 : 0);
}
