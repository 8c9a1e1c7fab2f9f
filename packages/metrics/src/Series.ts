import type { Outcome } from '#delivery/Outcome.js';
import { outcomes } from '#metrics/Outcomes.js';
import type { Phase } from '#metrics/Phase.js';
import { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import { phases } from '#metrics/Phases.js';
import type { SeriesSnapshot } from '#metrics/SeriesSnapshot.js';

/** Mutable metrics of one team and class; only the recorder of one task uses it. */
export class Series {
  private readonly recorders = new Map<Phase, PhaseRecorder>();
  private readonly counts = new Map<Outcome, number>();

  /** Records a duration in microseconds. */
  public record(phase: Phase, micros: number): void {
    this.getRecorder(phase).record(micros);
  }

  /** Adds to the count of an outcome. */
  public count(outcome: Outcome, by: number): void {
    this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + by);
  }

  /** Adds the values of another series. */
  public add(other: Series): void {
    for (const [phase, recorder] of other.recorders) this.getRecorder(phase).add(recorder);
    for (const [outcome, count] of other.counts) this.count(outcome, count);
  }

  /** Adds the values of a snapshot; throws if a histogram cannot be decoded. */
  public addSnapshot({ histograms, buckets, outcomes: counts }: SeriesSnapshot): void {
    for (const phase of phases) {
      const histogram = histograms[phase];
      const phaseBuckets = buckets[phase];
      if (histogram !== undefined && phaseBuckets !== undefined)
        this.getRecorder(phase).addEncoded(histogram, phaseBuckets);
    }
    for (const outcome of outcomes) this.count(outcome, counts[outcome] ?? 0);
  }

  /** Number of finished requests. */
  public total(): number {
    return [...this.counts.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Returns a read-only copy. Histograms are included on request only, because encoding one takes about 0.1 ms. */
  public snapshot(team: string, className: string, withHistograms: boolean): SeriesSnapshot {
    const encoded = withHistograms ? [...this.recorders] : [];
    return {
      team,
      class: className,
      outcomes: Object.fromEntries([...this.counts].filter(([, count]) => count > 0)),
      buckets: Object.fromEntries([...this.recorders].map(([phase, each]) => [phase, each.buckets()])),
      histograms: Object.fromEntries(encoded.map(([phase, each]) => [phase, each.encode()])),
    };
  }

  private getRecorder(phase: Phase): PhaseRecorder {
    const existing = this.recorders.get(phase);
    if (existing !== undefined) return existing;
    const recorder = new PhaseRecorder();
    this.recorders.set(phase, recorder);
    return recorder;
  }
}
