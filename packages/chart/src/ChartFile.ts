import type { ChartState } from '#chart/ChartState.js';

/** A state chart as it stands in a JSON file; a subset of the shape that xstate reads. */
export interface ChartFile {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}
