/** Limits of a catalogue entry, each for the whole fleet. */
export interface EntryLimits {
  /** Sustained requests a second. */
  readonly ratePerSecond: number;
  /** Requests admitted at once above the sustained rate. */
  readonly burst: number;
  /** Requests in flight at once. */
  readonly concurrency: number;
  /** Weight of the entry among those that compete for a backend server; at least 1. */
  readonly share: number;
  /** 0 is served first under overload, 9 last. */
  readonly priority: number;
  /** Deadline of a request that names none, in milliseconds. */
  readonly defaultDeadlineMs: number;
  /** Longest deadline a request may name, in milliseconds. */
  readonly maxDeadlineMs: number;
  /** Largest request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Bytes a second that may pass between regions; 0 for none. */
  readonly interRegionBytesPerSecond: number;
}
