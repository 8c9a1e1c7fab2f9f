import type { Timings } from '#settings/Timings.js';

/** Timings that apply where the settings give none; for the reasons, see docs/design.md, section 6. */
export const defaultTimings: Timings = Object.freeze({
  leaseMs: 1_500,
  renewEveryMs: 400,
  clockDrift: 0.01,
  spreadEveryMs: 500,
  shutdownMs: 10_000,
  onceHorizonMs: 600_000,
});
