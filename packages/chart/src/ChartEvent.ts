/** An event of a chart; its type selects the transitions. */
export interface ChartEvent {
  readonly type: string;
}
