/** How much of a withdrawn failure domain, VM or server is still in use. */
export interface DrainProgress {
  /** Members that the withdrawal covers. */
  readonly members: number;
  /** Shards and hot keys that these members still own. */
  readonly shardsLeft: number;
  /** Requests that these members still run or have queued. */
  readonly requestsInFlight: number;
  /** Whether the servers can be stopped without effect on requests. */
  readonly done: boolean;
}
