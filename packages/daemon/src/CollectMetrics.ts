import type { Member } from '#assignment/Member.js';
import type { FleetCaller } from '#daemon/FleetCaller.js';
import { mergeInSteps } from '#daemon/MergeInSteps.js';
import type { MetricsPart } from '#daemon/MetricsPart.js';
import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';
import { runBounded } from '#daemon/RunBounded.js';

/** Snapshots in memory at once, so that the memory used does not grow with the fleet. */
const BATCH_SIZE = 4;
const EMPTY: MetricsSnapshot = { series: [], counters: {}, gauges: {} };

/** Fetches and merges the metrics of daemons; daemons that do not respond are left out. */
export async function collectMetrics(
  caller: FleetCaller,
  members: readonly Member[],
): Promise<MetricsSnapshot> {
  let merged = EMPTY;
  for (let start = 0; start < members.length; start += BATCH_SIZE) {
    const batch = members.slice(start, start + BATCH_SIZE);
    const snapshots = await runBounded(batch, BATCH_SIZE, (member) => fetchSnapshot(caller, member));
    merged = await mergeInSteps([merged, ...snapshots]);
  }
  return merged;
}

async function fetchSnapshot(caller: FleetCaller, member: Member): Promise<MetricsSnapshot> {
  let snapshot = EMPTY;
  let from = 0;
  do {
    const part = await caller.call<MetricsPart>(member, 'adminStats', { from });
    if (part === undefined) return EMPTY;
    const { counters, gauges, next } = part;
    snapshot = { series: [...snapshot.series, ...part.series], counters, gauges };
    from = next;
  } while (from > 0);
  return snapshot;
}
