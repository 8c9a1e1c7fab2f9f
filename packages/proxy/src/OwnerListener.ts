import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { RequestTimes } from '#proxy/RequestTimes.js';
import type { RequestMark } from '#proxy/RequestMark.js';

/** Receives what the owner task reports to the rest of the daemon. */
export interface OwnerListener {
  /** Called every second with the number of requests that each shard received in it. */
  readonly onLoad: (requestsPerSecond: ReadonlyMap<string, number>) => void;
  /** Called with new crash marks, to be sent to the other daemons of the cell. */
  readonly onMarks: (marks: readonly RequestMark[]) => void;
  /** Called if the backend server was replaced, was lost, or changed whether it is shutting down. */
  readonly onBackend: (facts: BackendFacts | undefined) => void;
  /** Called when the backend server has completed a response. */
  readonly onResponse: (times: RequestTimes) => void;
}
