/**
 * Names of the HTTP headers exchanged with callers and backend servers; names that are compared are in lower
 * case.
 */
export interface HeaderNames {
  readonly requestId: string;
  /** Time that the sender waits for the response, in milliseconds. */
  readonly deadlineMs: string;
  /** Integrity signature of a backend server's response. */
  readonly signature: string;
  /** Instance of the backend server that a request is meant for. */
  readonly expectedServer: string;
  /** Service of the VM from which the request was sent. */
  readonly callerService: string;
  /** Present in a response if the backend server did not run the request. */
  readonly notExecuted: string;
  /** Load that a backend server reports with a response. */
  readonly load: string;
  /** Key of a request to a keyed service. */
  readonly key: string;
  /** API key of the caller. */
  readonly authorization: string;
  /** Name of the tenant to which a request belongs. */
  readonly tenant: string;
}
