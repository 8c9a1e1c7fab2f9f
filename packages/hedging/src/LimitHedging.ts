import type { HedgeSettings } from '#hedging/HedgeSettings.js';

/**
 * Fraction of the retry budget of the fleet that copies may use. A request that was hedged repeats the calls that it makes, too,
 * and retries after losses need the rest.
 */
const MAX_BUDGET_FRACTION = 0.25;

/** Limits the fraction of hedged requests to a part of the retries that the fleet may make, as a fraction of its requests. */
export function limitHedging(settings: HedgeSettings, retryFraction: number): HedgeSettings {
  return { ...settings, fraction: Math.min(settings.fraction, retryFraction * MAX_BUDGET_FRACTION) };
}
