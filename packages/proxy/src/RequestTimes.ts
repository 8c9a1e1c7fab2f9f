/** Durations of an order that the backend server answered, for histograms. */
export interface RequestTimes {
  readonly team: string;
  readonly class: string;
  /** Time from its arrival at the owner to its start, in milliseconds. */
  readonly queueMs: number;
  /** Time from its start to the end of the answer, in milliseconds. */
  readonly backendMs: number;
}
