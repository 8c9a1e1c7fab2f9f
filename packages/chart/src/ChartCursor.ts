import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartEvent } from '#chart/ChartEvent.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { CompiledChart } from '#chart/CompiledChart.js';

/** Runs a chart that has neither context nor commands, and holds its current state. */
export class ChartCursor<E extends ChartEvent> {
  private readonly chart: CompiledChart<undefined, E, never>;
  private snapshot: ChartSnapshot<undefined>;

  public constructor(chart: CompiledChart<undefined, E, never>) {
    this.chart = chart;
    this.snapshot = { value: chart.initial, context: undefined };
  }

  public get state(): string {
    return this.snapshot.value;
  }

  /** Applies an event. Returns whether the chart has a transition for it in the current state. */
  public send(event: E): boolean {
    const step = advanceChart(this.chart, this.snapshot, event);
    this.snapshot = step.snapshot;
    return step.taken;
  }
}
