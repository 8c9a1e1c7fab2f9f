import type { CrashMark } from '#admission/CrashMark.js';
import type { ChangesReply } from '#fanout/ChangesReply.js';
import type { ChangesRequest } from '#fanout/ChangesRequest.js';
import type { OwnerLoadReport } from '#mesh/OwnerLoadReport.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

/** Handlers of the calls of other daemons. Their results are sent back to the caller. */
export interface PeerCallHandlers {
  /** Resolves to whether this daemon can plan the key ranges of its service. */
  readonly describePlanner: () => Promise<boolean>;
  readonly describeLoad: () => Promise<OwnerLoadReport>;
  /** Handles the resignation of a daemon that stopped. */
  readonly onResigned: (value: unknown) => boolean;
  readonly onCancel: (id: string) => boolean;
  readonly onRelease: (request: RangeReleaseRequest) => boolean;
  /** Answers the token requests of a daemon; see `QuotaTask`. */
  readonly onQuota: (value: unknown) => Promise<unknown>;
  /** Resolves to the changes that follow the positions of the request, or after its wait. */
  readonly readChanges: (request: ChangesRequest) => Promise<ChangesReply>;
  readonly onMarks: (marks: readonly CrashMark[]) => boolean;
}
