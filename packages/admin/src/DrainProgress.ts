/** How much of what was withdrawn is still in use. */
export interface DrainProgress {
  /** Members that the withdrawal covers. */
  readonly members: number;
  /** Shards and hot keys that these members still own. */
  readonly shardsLeft: number;
  /** Requests that they still run. */
  readonly requestsInFlight: number;
  /** Whether the servers can be stopped without harm. */
  readonly done: boolean;
}
