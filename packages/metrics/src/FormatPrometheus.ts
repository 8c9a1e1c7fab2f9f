import { formatBuckets } from '#metrics/FormatBuckets.js';
import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';
import { phases } from '#metrics/Phases.js';
import { outcomes } from '#metrics/Outcomes.js';
import type { SeriesSnapshot } from '#metrics/SeriesSnapshot.js';

/** Formats a snapshot in the Prometheus text format, version 0.0.4. Labels are team, class, phase and outcome. */
export function formatPrometheus(snapshot: MetricsSnapshot): string {
  const lines = [
    ...formatOutcomes(snapshot.series),
    ...formatPhases(snapshot.series),
    ...Object.entries(snapshot.counters).flatMap(([name, value]) =>
      formatMetric(`amaranthrouter_${toSnakeCase(name)}_total`, 'counter', value),
    ),
    ...Object.entries(snapshot.gauges).flatMap(([name, value]) =>
      formatMetric(`amaranthrouter_${toSnakeCase(name)}`, 'gauge', value),
    ),
  ];
  return `${lines.join('\n')}\n`;
}

function formatMetric(name: string, type: string, value: number): readonly string[] {
  return [`# TYPE ${name} ${type}`, `${name} ${value}`];
}

function formatOutcomes(series: readonly SeriesSnapshot[]): readonly string[] {
  const name = 'amaranthrouter_requests_total';
  const lines = series.flatMap((each) =>
    outcomes
      .filter((outcome) => each.outcomes[outcome] !== undefined)
      .map((outcome) => `${name}{${formatLabels(each)},outcome="${outcome}"} ${each.outcomes[outcome] ?? 0}`),
  );
  return [`# HELP ${name} Finished requests by outcome.`, `# TYPE ${name} counter`, ...lines];
}

function formatPhases(series: readonly SeriesSnapshot[]): readonly string[] {
  const name = 'amaranthrouter_phase_seconds';
  const lines = series.flatMap((each) =>
    phases.flatMap((phase) => {
      const buckets = each.buckets[phase];
      const labels = `${formatLabels(each)},phase="${phase}"`;
      return buckets === undefined ? [] : formatBuckets(name, labels, buckets);
    }),
  );
  return [`# HELP ${name} Duration of the phases of requests.`, `# TYPE ${name} histogram`, ...lines];
}

function formatLabels(series: SeriesSnapshot): string {
  return `team="${escapeLabel(series.team)}",class="${escapeLabel(series.class)}"`;
}

function escapeLabel(text: string): string {
  return text.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
