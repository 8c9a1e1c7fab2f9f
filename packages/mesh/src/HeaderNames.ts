/** Names of the headers that a front end uses towards callers and backend servers, in lower case where compared. */
export interface HeaderNames {
  readonly requestId: string;
  /** Time that the sender still waits, in milliseconds. */
  readonly deadlineMs: string;
  /** Integrity signature of a backend server's answer. */
  readonly signature: string;
  /** Run of the backend server that a request is meant for. */
  readonly expectedServer: string;
  /** Service of the VM at which the request arose. */
  readonly callerService: string;
  /** Present in an answer if the backend server did not run the request. */
  readonly notExecuted: string;
  readonly load: string;
  /** Key of the request in a service whose keys are owned. */
  readonly key: string;
}
