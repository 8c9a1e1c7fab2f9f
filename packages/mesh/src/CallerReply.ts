import type { BackendResponse } from '#mesh/BackendResponse.js';

/**
 * Reply to a caller.
 * - `answer`: the backend server's response.
 * - `refusal`: a response of the router itself. Status 429 and 503 state that the request has not run and never will.
 */
export type CallerReply =
  | { readonly type: 'answer'; readonly response: BackendResponse }
  | {
      readonly type: 'refusal';
      readonly status: number;
      readonly code: string;
      /** Time after which the caller may retry, in milliseconds; 0 without a `Retry-After` header. */
      readonly retryAfterMs: number;
    };
