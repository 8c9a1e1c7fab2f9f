import type { MetricsLimits } from '#metrics/MetricsLimits.js';

/** Limits that keep the histograms of a daemon within about 10 MB, as a series takes at most about 40 kB. */
export const defaultMetricsLimits: MetricsLimits = Object.freeze({ teams: 32, classes: 8 });
