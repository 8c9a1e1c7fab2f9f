import type { HeaderPair } from '#mesh/HeaderPair.js';

/** A whole request as a caller sent it. */
export interface CallerRequest {
  /** Id of this attempt of the caller. */
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly host: string;
  /** End-to-end headers; without those that describe one connection or that the router sets itself. */
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer;
  /** Whether the request had a body, even an empty one. */
  readonly hasBody: boolean;
  /** Time that the caller waits, in milliseconds; undefined if it does not say. */
  readonly deadlineMs: number | undefined;
  /** Key of the request; undefined without one. */
  readonly key: number | undefined;
  /** Monotonic time at which it arrived, as far as known, in milliseconds; at first that at which its head was read. */
  readonly arrivedMs: number;
}
