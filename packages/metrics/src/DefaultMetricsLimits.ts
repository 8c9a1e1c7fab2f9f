import type { MetricsLimits } from '#metrics/MetricsLimits.js';

/** Bounds that keep the histograms of a daemon within about 10 MB; a series takes about 40 kB at most. */
export const defaultMetricsLimits: MetricsLimits = Object.freeze({ teams: 32, classes: 8 });
