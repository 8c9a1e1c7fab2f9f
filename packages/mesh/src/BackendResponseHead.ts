import type { HeaderPair } from '#mesh/HeaderPair.js';

/** The head of a backend server's final answer to the order that its connection carries, or to an earlier one. */
export interface BackendResponseHead {
  readonly status: number;
  /** End-to-end headers. */
  readonly headers: readonly HeaderPair[];
  /** Whether it has the id of the order that the connection carries. */
  readonly isCurrent: boolean;
  readonly hasBody: boolean;
  /** Whether its body ends with the connection. */
  readonly isUnframed: boolean;
  /** Whether the connection can carry another order. */
  readonly keepsAlive: boolean;
  /** Time for which the backend server keeps the idle connection, in milliseconds, if it says so. */
  readonly idleMs: number | undefined;
}
