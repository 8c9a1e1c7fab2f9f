import { bucketBoundsMs } from '#metrics/BucketBoundsMs.js';
import type { PhaseBuckets } from '#metrics/PhaseBuckets.js';

const MS_PER_SECOND = 1_000;
const MICROS_PER_SECOND = 1_000_000;

/** Formats the lines of one histogram in the Prometheus text format. `labels` may be empty. */
export function formatBuckets(name: string, labels: string, buckets: PhaseBuckets): readonly string[] {
  const bounds = [...bucketBoundsMs.map((bound) => String(bound / MS_PER_SECOND)), '+Inf'];
  const prefix = labels === '' ? '' : `${labels},`;
  const suffix = labels === '' ? '' : `{${labels}}`;
  let count = 0;
  const lines = bounds.map((bound, index) => {
    count += buckets.counts[index] ?? 0;
    return `${name}_bucket{${prefix}le="${bound}"} ${count}`;
  });
  return [
    ...lines,
    `${name}_sum${suffix} ${buckets.sumMicros / MICROS_PER_SECOND}`,
    `${name}_count${suffix} ${count}`,
  ];
}
