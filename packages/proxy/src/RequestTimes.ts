/** Durations of a request that the backend server completed, for histograms. */
export interface RequestTimes {
  readonly team: string;
  readonly class: string;
  /** Time from the arrival at the owner to the start, in milliseconds. */
  readonly queueMs: number;
  /** Time from the start to the end of the response, in milliseconds. */
  readonly backendMs: number;
}
