import type { HeaderPair } from '#mesh/HeaderPair.js';

/** A complete request as received from a caller. */
export interface CallerRequest {
  /** Id of the caller's request; a retry of the caller has another one. */
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly host: string;
  /** End-to-end headers, without those that concern one connection or that the router sets itself. */
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer;
  /** Whether the request had a body, even an empty one. */
  readonly hasBody: boolean;
  /** Time that the caller waits for a response, in milliseconds; undefined if it does not say. */
  readonly deadlineMs: number | undefined;
  /** Key of the request in a keyed service; undefined without one. */
  readonly key: number | undefined;
  /** API key of the caller; empty if it is not given in the expected form, undefined if there is none. */
  readonly credential: string | undefined;
  /**
   * Estimated monotonic time of its arrival, in milliseconds; until it is estimated, the time at which its head
   * was read.
   */
  readonly arrivedMs: number;
  /** Whether its connection comes from the VM of this daemon. */
  readonly isFromOwnVm?: boolean;
}
