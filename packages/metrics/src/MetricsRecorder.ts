import { setImmediate } from 'node:timers/promises';
import type { Outcome } from '#delivery/Outcome.js';
import type { CounterName } from '#metrics/CounterName.js';
import { defaultMetricsLimits } from '#metrics/DefaultMetricsLimits.js';
import type { GaugeName } from '#metrics/GaugeName.js';
import type { MetricsLimits } from '#metrics/MetricsLimits.js';
import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';
import { otherLabel } from '#metrics/OtherLabel.js';
import type { Phase } from '#metrics/Phase.js';
import { Series } from '#metrics/Series.js';
import type { SeriesSnapshot } from '#metrics/SeriesSnapshot.js';

interface TeamSeries {
  /** Number of the last recording that used this team, for finding the least recently used one. */
  lastUse: number; // eslint-disable-line no-restricted-syntax -- set for each request
  readonly classes: Map<string, Series>;
}

/**
 * Records the metrics of one task. Recording a value takes less than a microsecond. When the limit of teams is reached,
 * the series of the least recently used team are merged into the team `other`, so that totals stay correct.
 */
export class MetricsRecorder {
  private readonly teams = new Map<string, TeamSeries>();
  private readonly counters = new Map<CounterName, number>();
  private readonly gauges = new Map<GaugeName, number>();
  private readonly limits: MetricsLimits;
  private useCount = 0;

  public constructor(limits: MetricsLimits = defaultMetricsLimits) {
    this.limits = limits;
  }

  /** Records the duration of a phase in microseconds. */
  public recordPhase(team: string, className: string, phase: Phase, micros: number): void {
    this.findSeries(team, className).record(phase, micros);
  }

  /** Counts the outcome of one request. */
  public countOutcome(team: string, className: string, outcome: Outcome): void {
    this.findSeries(team, className).count(outcome, 1);
  }

  /** Increments a counter of the daemon. */
  public count(name: CounterName, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /** Sets a counter to a total that is counted elsewhere. */
  public setCounter(name: CounterName, total: number): void {
    this.counters.set(name, total);
  }

  /** Sets a gauge of the daemon. */
  public setGauge(name: GaugeName, value: number): void {
    this.gauges.set(name, value);
  }

  /** Returns a read-only copy for Prometheus, without encoded histograms. */
  public snapshotBuckets(): MetricsSnapshot {
    return { series: this.listSeries().map((build) => build(false)), ...this.snapshotTotals() };
  }

  /**
   * Returns a read-only copy with encoded histograms. Yields to the event loop after each series, because encoding all
   * of them takes tens of milliseconds.
   */
  public async snapshot(): Promise<MetricsSnapshot> {
    const series: SeriesSnapshot[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
    for (const build of this.listSeries()) {
      series.push(build(true));
      await setImmediate();
    }
    return { series, ...this.snapshotTotals() };
  }

  private listSeries(): readonly ((withHistograms: boolean) => SeriesSnapshot)[] {
    return [...this.teams].flatMap(([team, { classes }]) =>
      [...classes].map(
        ([className, each]) =>
          (withHistograms: boolean) =>
            each.snapshot(team, className, withHistograms),
      ),
    );
  }

  private snapshotTotals(): Pick<MetricsSnapshot, 'counters' | 'gauges'> {
    return { counters: Object.fromEntries(this.counters), gauges: Object.fromEntries(this.gauges) };
  }

  private findSeries(team: string, className: string): Series {
    const found = this.teams.get(team) ?? this.addTeam(team);
    this.useCount += 1;
    found.lastUse = this.useCount;
    return found.classes.get(className) ?? this.addClass(found, className);
  }

  private addClass(team: TeamSeries, className: string): Series {
    const name = team.classes.size < this.limits.classes ? className : otherLabel;
    const existing = team.classes.get(name);
    if (existing !== undefined) return existing;
    const series = new Series();
    team.classes.set(name, series);
    return series;
  }

  private addTeam(name: string): TeamSeries {
    const namedTeams = this.teams.size - (this.teams.has(otherLabel) ? 1 : 0);
    if (name !== otherLabel && namedTeams >= this.limits.teams) this.mergeOldestTeam();
    const added: TeamSeries = { lastUse: 0, classes: new Map() };
    this.teams.set(name, added);
    return added;
  }

  private mergeOldestTeam(): void {
    const candidates = [...this.teams].filter(([name]) => name !== otherLabel);
    const first = candidates[0];
    if (first === undefined) return;
    const [name, oldest] = candidates.reduce((left, right) =>
      right[1].lastUse < left[1].lastUse ? right : left,
    );
    this.teams.delete(name);
    const other = this.teams.get(otherLabel) ?? this.addTeam(otherLabel);
    for (const [className, series] of oldest.classes) {
      const target = other.classes.get(className) ?? this.addClass(other, className);
      target.add(series);
    }
  }
}
