import type { ChartState } from '#chart/ChartState.js';

/** A state chart as a JSON file contains it; a subset of the format of xstate. */
export interface ChartFile {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}
