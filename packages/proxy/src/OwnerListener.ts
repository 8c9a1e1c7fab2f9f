import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { RequestTimes } from '#proxy/RequestTimes.js';
import type { RequestMark } from '#proxy/RequestMark.js';

/** What the owner task tells the rest of the daemon. */
export interface OwnerListener {
  /** Requests a second of each owned shard, measured over the last second. */
  readonly onLoad: (requestsPerSecond: ReadonlyMap<string, number>) => void;
  /** Marks to send to the other daemons of the cell. */
  readonly onMarks: (marks: readonly RequestMark[]) => void;
  readonly onBackend: (facts: BackendFacts | undefined) => void;
  /** The backend server answered an order. */
  readonly onAnswered: (times: RequestTimes) => void;
}
