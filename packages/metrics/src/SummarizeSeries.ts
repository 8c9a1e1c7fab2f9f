import { decodeFromCompressedBase64 } from 'hdr-histogram-js';
import type { PhaseSummary } from '#metrics/PhaseSummary.js';
import { phases } from '#metrics/Phases.js';
import type { SeriesSnapshot } from '#metrics/SeriesSnapshot.js';
import type { SeriesSummary } from '#metrics/SeriesSummary.js';

const MICROS_PER_MS = 1_000;

/** Decodes the histograms of a series and computes their percentiles. */
export function summarizeSeries(series: SeriesSnapshot): SeriesSummary {
  const summaries = phases.flatMap((phase) => {
    const text = series.histograms[phase];
    return text === undefined ? [] : [[phase, summarizePhase(text)] as const];
  });
  return {
    team: series.team,
    class: series.class,
    outcomes: series.outcomes,
    phases: Object.fromEntries(summaries),
  };
}

function summarizePhase(text: string): PhaseSummary {
  const histogram = decodeFromCompressedBase64(text);
  const valueAt = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  return {
    count: histogram.totalCount,
    meanMs: histogram.totalCount === 0 ? 0 : histogram.mean / MICROS_PER_MS,
    p50Ms: valueAt(50),
    p90Ms: valueAt(90),
    p99Ms: valueAt(99),
    p999Ms: valueAt(99.9),
    maxMs: histogram.maxValue / MICROS_PER_MS,
  };
}
