/**
 * Events of the delivery of one response. `routed`: the request was sent on, so a byte of it may have reached the
 * backend server. `head` and `chunk`: parts of the response were written to the caller. `written`: its last byte was
 * handed to the socket. `flushed`: all of it was sent and the socket is open. `refused`: the request did not run.
 * `backendLost`: no complete response will come. `timedOut`: the time for the response or for the receipt has ended,
 * and nothing more is sent. Times are monotonic, in milliseconds.
 */
export type DeliveryEvent =
  | { readonly type: 'routed' | 'head' | 'written' | 'refused' | 'backendLost' | 'timedOut' | 'callerGone' }
  | { readonly type: 'chunk'; readonly bytes: number }
  | { readonly type: 'flushed'; readonly nowMs: number }
  | { readonly type: 'receipt'; readonly bytes: number; readonly nowMs: number };
