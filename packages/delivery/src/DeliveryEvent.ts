/**
 * Events of one response. `ordered`: a byte of the order may have reached the backend server. `head` and `chunk`: parts
 * of the response were written to the caller. `written`: its last byte was handed to the socket. `flushed`: the socket
 * took all of it and is open. `refused`: the request did not run. `backendLost`: no complete response will come.
 * `timedOut`: the time for the response or for the receipt ended; what was not sent by then is not sent. Times are monotonic.
 */
export type DeliveryEvent =
  | {
      readonly type:
        'dispatched' | 'head' | 'written' | 'refused' | 'backendLost' | 'timedOut' | 'callerGone';
    }
  | { readonly type: 'chunk'; readonly bytes: number }
  | { readonly type: 'flushed'; readonly nowMs: number }
  | { readonly type: 'receipt'; readonly bytes: number; readonly nowMs: number };
