/** Limits of a catalogue entry, each for the whole fleet. */
export interface EntryLimits {
  /** Sustained rate of requests per second. */
  readonly ratePerSecond: number;
  /** Number of requests that may be admitted at once above the sustained rate. */
  readonly burst: number;
  /** Maximum number of requests in flight. */
  readonly concurrency: number;
  /** Weight of the entry among those that compete for a backend server; at least 1. */
  readonly share: number;
  /** Priority under overload, from 0, which is served first, to 9. */
  readonly priority: number;
  /** Deadline of a request that sets none, in milliseconds after its arrival. */
  readonly defaultDeadlineMs: number;
  /** Longest deadline; a request that asks for more gets this one. In milliseconds after the arrival. */
  readonly maxDeadlineMs: number;
  /** Largest request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Bytes per second that may be sent between regions; 0 for none. */
  readonly interRegionBytesPerSecond: number;
}
