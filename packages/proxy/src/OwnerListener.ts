import type { CrashMark } from '#admission/CrashMark.js';
import type { BackendFacts } from '#proxy/BackendFacts.js';

/** What the owner task tells the rest of the daemon. */
export interface OwnerListener {
  /** Requests a second of each owned shard, measured over the last second. */
  readonly onLoad: (requestsPerSecond: ReadonlyMap<string, number>) => void;
  /** Marks to send to the other daemons of the cell. */
  readonly onMarks: (marks: readonly CrashMark[]) => void;
  readonly onBackend: (facts: BackendFacts | undefined) => void;
}
