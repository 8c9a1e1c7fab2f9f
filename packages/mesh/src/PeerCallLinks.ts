import type { CrashMark } from '#admission/CrashMark.js';
import type { BalanceFacts } from '#mesh/BalanceFacts.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

/** Where the calls of other daemons lead. The results of the handlers are sent back. */
export interface PeerCallLinks {
  /** Whether this daemon can plan the keys of its service. */
  readonly describePlanner: () => Promise<boolean>;
  readonly describeLoad: () => Promise<BalanceFacts>;
  /** Takes the statement of a daemon that ended. */
  readonly onResigned: (value: unknown) => boolean;
  readonly onCancel: (id: string) => boolean;
  readonly onRelease: (request: RangeReleaseRequest) => boolean;
  readonly onMarks: (marks: readonly CrashMark[]) => boolean;
}
