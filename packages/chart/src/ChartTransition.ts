/** One transition of a chart file. The first transition of an event whose guard holds is taken. */
export interface ChartTransition {
  readonly target?: string;
  readonly guard?: string;
  readonly actions?: readonly string[];
}
