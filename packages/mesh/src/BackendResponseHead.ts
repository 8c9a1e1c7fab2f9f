import type { HeaderPair } from '#mesh/HeaderPair.js';

/** Head of a final HTTP response on a connection to a backend server, possibly to an earlier request. */
export interface BackendResponseHead {
  readonly status: number;
  /** End-to-end headers. */
  readonly headers: readonly HeaderPair[];
  /** Whether it carries the id of the request that the connection now serves. */
  readonly isCurrent: boolean;
  readonly hasBody: boolean;
  /** Whether its body has no length and ends with the connection. */
  readonly isUnframed: boolean;
  /** Whether the connection can be reused. */
  readonly keepsAlive: boolean;
  /** Keep-alive timeout that the backend server states, in milliseconds; undefined without one. */
  readonly idleMs: number | undefined;
}
