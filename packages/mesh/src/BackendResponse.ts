import type { HeaderPair } from '#mesh/HeaderPair.js';

/** A complete HTTP response of a backend server. */
export interface BackendResponse {
  readonly status: number;
  /** End-to-end headers. */
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer;
}
