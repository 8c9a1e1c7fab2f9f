/** The properties of a request that determine its place in the queue. Times are monotonic, in milliseconds. */
export interface QueuedRequest {
  readonly id: string;
  readonly team: string;
  readonly class: string;
  /** Priority from 0, which is served first, to 9. */
  readonly priority: number;
  /** Weight of the team among the teams with requests of the same priority; at least 1. */
  readonly share: number;
  readonly deadlineMs: number;
  /** Whether the request may run only while no other request runs. */
  readonly exclusive: boolean;
}
