import type { QueuedRequest } from '#admission/QueuedRequest.js';

/** A queued request with its expected service time, in milliseconds. */
export interface WaitingRequest extends QueuedRequest {
  readonly expectedMs: number;
}
