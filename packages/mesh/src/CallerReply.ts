import type { BackendResponse } from '#mesh/BackendResponse.js';

/**
 * What a caller is told.
 * - `answer`: the backend server's answer.
 * - `refusal`: an answer of the router itself. Status 429 and 503 say that the request has not run and never will.
 */
export type CallerReply =
  | { readonly type: 'answer'; readonly answer: BackendResponse }
  | {
      readonly type: 'refusal';
      readonly status: number;
      readonly code: string;
      /** Time after which the caller may come back, in milliseconds; 0 if there is none. */
      readonly retryAfterMs: number;
    };
