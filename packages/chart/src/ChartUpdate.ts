/** Result of an action: the next context, and commands for the task that runs the chart. */
export interface ChartUpdate<C, K> {
  readonly context: C;
  readonly commands: readonly K[];
}
