import { defaultMetricsLimits } from '#metrics/DefaultMetricsLimits.js';
import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';
import { otherLabel } from '#metrics/OtherLabel.js';
import { Series } from '#metrics/Series.js';

interface Group {
  readonly team: string;
  readonly className: string;
  readonly series: Series;
}

/**
 * Merges the snapshots of several daemons: adds histograms and counters, and keeps the greatest value of each gauge.
 * If there are more than `maxTeams` teams, the ones with the fewest requests are merged into the team `other`.
 */
export function mergeSnapshots(
  snapshots: readonly MetricsSnapshot[],
  maxTeams: number = defaultMetricsLimits.teams,
): MetricsSnapshot {
  const groups = groupSeries(snapshots);
  const topTeams = pickTopTeams(groups, maxTeams);
  const merged = new Map<string, Group>();
  for (const group of groups) {
    const team = topTeams.has(group.team) ? group.team : otherLabel;
    addGroup(merged, { ...group, team });
  }
  return {
    series: [...merged.values()].map(({ team, className, series }) => series.snapshot(team, className, true)),
    counters: combine(
      snapshots.map((snapshot) => snapshot.counters),
      (left, right) => left + right,
    ),
    gauges: combine(
      snapshots.map((snapshot) => snapshot.gauges),
      Math.max,
    ),
  };
}

function groupSeries(snapshots: readonly MetricsSnapshot[]): readonly Group[] {
  const groups = new Map<string, Group>();
  for (const snapshot of snapshots.flatMap((each) => each.series)) {
    const series = new Series();
    series.addSnapshot(snapshot);
    addGroup(groups, { team: snapshot.team, className: snapshot.class, series });
  }
  return [...groups.values()];
}

function addGroup(groups: Map<string, Group>, group: Group): void {
  const key = `${group.team}/${group.className}`;
  const existing = groups.get(key);
  if (existing === undefined) groups.set(key, group);
  else existing.series.add(group.series);
}

function pickTopTeams(groups: readonly Group[], maxTeams: number): ReadonlySet<string> {
  const totals = new Map<string, number>();
  for (const { team, series } of groups)
    if (team !== otherLabel) totals.set(team, (totals.get(team) ?? 0) + series.total());
  const byTotal = [...totals].sort(([, left], [, right]) => right - left);
  return new Set(byTotal.slice(0, maxTeams).map(([team]) => team));
}

function combine<T extends Readonly<Partial<Record<string, number>>>>(
  records: readonly T[],
  operation: (left: number, right: number) => number,
): T {
  const result = new Map<string, number>();
  for (const [name, value] of records.flatMap((record) => Object.entries(record))) {
    if (value === undefined) continue;
    const previous = result.get(name);
    result.set(name, previous === undefined ? value : operation(previous, value));
  }
  return Object.fromEntries(result) as T;
}
