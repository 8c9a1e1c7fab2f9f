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

interface TenantSeries {
  usedAt: number; // eslint-disable-line no-restricted-syntax -- set for each request
  readonly classes: Map<string, Series>;
}

/**
 * Measurements of one task. Recording a value takes less than a microsecond. Above the limit, the series of the least
 * recently used tenant are added to those of the tenant `other`, so that totals stay right.
 */
export class MetricsRecorder {
  private readonly tenants = new Map<string, TenantSeries>();
  private readonly counters = new Map<CounterName, number>();
  private readonly gauges = new Map<GaugeName, number>();
  private readonly limits: MetricsLimits;
  private uses = 0;

  public constructor(limits: MetricsLimits = defaultMetricsLimits) {
    this.limits = limits;
  }

  /** Records the duration of a phase in microseconds. */
  public recordPhase(tenant: string, className: string, phase: Phase, micros: number): void {
    this.findSeries(tenant, className).record(phase, micros);
  }

  /** Counts the outcome of one request. */
  public countOutcome(tenant: string, className: string, outcome: Outcome): void {
    this.findSeries(tenant, className).count(outcome, 1);
  }

  /** Adds to a counter of the daemon. */
  public count(name: CounterName, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /** Sets a counter to a total that another task keeps. */
  public raise(name: CounterName, total: number): void {
    this.counters.set(name, total);
  }

  /** Sets a current value of the daemon. */
  public setGauge(name: GaugeName, value: number): void {
    this.gauges.set(name, value);
  }

  /** Returns a read-only copy for Prometheus, without encoded histograms. */
  public snapshotBuckets(): MetricsSnapshot {
    return { series: this.listSeries().map((build) => build(false)), ...this.snapshotTotals() };
  }

  /**
   * Returns a read-only copy with encoded histograms. Lets other work run between series, as encoding all of them takes
   * tens of milliseconds.
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
    return [...this.tenants].flatMap(([tenant, { classes }]) =>
      [...classes].map(
        ([className, each]) =>
          (withHistograms: boolean) =>
            each.snapshot(tenant, className, withHistograms),
      ),
    );
  }

  private snapshotTotals(): Pick<MetricsSnapshot, 'counters' | 'gauges'> {
    return { counters: Object.fromEntries(this.counters), gauges: Object.fromEntries(this.gauges) };
  }

  private findSeries(tenant: string, className: string): Series {
    const found = this.tenants.get(tenant) ?? this.addTenant(tenant);
    this.uses += 1;
    found.usedAt = this.uses;
    return found.classes.get(className) ?? this.addClass(found, className);
  }

  private addClass(tenant: TenantSeries, className: string): Series {
    const name = tenant.classes.size < this.limits.classes ? className : otherLabel;
    const existing = tenant.classes.get(name);
    if (existing !== undefined) return existing;
    const series = new Series();
    tenant.classes.set(name, series);
    return series;
  }

  private addTenant(name: string): TenantSeries {
    const named = this.tenants.size - (this.tenants.has(otherLabel) ? 1 : 0);
    if (name !== otherLabel && named >= this.limits.tenants) this.foldOldest();
    const added: TenantSeries = { usedAt: 0, classes: new Map() };
    this.tenants.set(name, added);
    return added;
  }

  private foldOldest(): void {
    const candidates = [...this.tenants].filter(([name]) => name !== otherLabel);
    const first = candidates[0];
    if (first === undefined) return;
    const [name, oldest] = candidates.reduce((left, right) =>
      right[1].usedAt < left[1].usedAt ? right : left,
    );
    this.tenants.delete(name);
    const other = this.tenants.get(otherLabel) ?? this.addTenant(otherLabel);
    for (const [className, series] of oldest.classes) {
      const target = other.classes.get(className) ?? this.addClass(other, className);
      target.add(series);
    }
  }
}
