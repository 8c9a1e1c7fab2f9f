import type { ChartTransition } from '#chart/ChartTransition.js';

/** One state of a chart file: its entry actions and its transitions by event type. */
export interface ChartState {
  readonly type?: string;
  readonly entry?: readonly string[];
  readonly on?: Readonly<Record<string, ChartTransition | readonly ChartTransition[]>>;
}
