import { formatBuckets } from '#metrics/FormatBuckets.js';
import type { PhaseBuckets } from '#metrics/PhaseBuckets.js';

/** Formats a histogram without labels in the Prometheus text format, version 0.0.4. */
export function formatHistogram(name: string, help: string, buckets: PhaseBuckets): string {
  const lines = [`# HELP ${name} ${help}`, `# TYPE ${name} histogram`, ...formatBuckets(name, '', buckets)];
  return `${lines.join('\n')}\n`;
}
