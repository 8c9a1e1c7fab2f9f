import type { Timings } from '#settings/Timings.js';

/** Timings of a daemon whose settings name none; the reasons are in docs/design.md, section 6. */
export const defaultTimings: Timings = Object.freeze({
  leaseMs: 1_500,
  renewEveryMs: 400,
  clockDrift: 0.01,
  spreadEveryMs: 500,
  shutdownMs: 10_000,
  onceHorizonMs: 600_000,
});
