/** Current state name and context of a running chart. */
export interface ChartSnapshot<C> {
  readonly value: string;
  readonly context: C;
}
