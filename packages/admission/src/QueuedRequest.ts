/** A request that asks to run at the backend server. Times are monotonic, in milliseconds. */
export interface QueuedRequest {
  readonly id: string;
  readonly team: string;
  readonly class: string;
  /** 0 is served first, 9 last. */
  readonly priority: number;
  /** Weight of the team among those that wait with the same priority; at least 1. */
  readonly share: number;
  readonly deadlineMs: number;
  /** Whether the request may only run while no other runs. */
  readonly exclusive: boolean;
}
