import type { QueuedWork } from '#overload/QueuedWork.js';
import { fitsBeforeTarget } from '#mesh/FitsBeforeTarget.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';
import { ServerAdmission } from '#mesh/ServerAdmission.js';

const MAX_QUEUED_PER_SLOT = 12;
const RELAY_MARGIN_MS = 5;

type Capacity = Parameters<ServerAdmission['add']>[1];

/** Admission without displacement, minimum shares, return schedule and the order by target latency, for comparison in simulations. */
export class LegacyAdmission extends ServerAdmission {
  public constructor() {
    super(compareByDeadline);
  }

  public override hasRoom(
    queued: QueuedBackendRequest,
    dueMs: number,
    { slots, nowMs, waitMs }: Capacity,
  ): boolean {
    if (this.queue.size >= slots * MAX_QUEUED_PER_SLOT) return false;
    return fitsBeforeTarget(queued, waitMs(this.queue.workAheadMs(queued, nowMs)), dueMs, nowMs);
  }

  public override add(queued: QueuedBackendRequest, { nowMs }: Capacity): readonly QueuedBackendRequest[] {
    this.queue.add(queued, nowMs);
    return [];
  }

  public override removeLate({ slots, nowMs }: Capacity): readonly QueuedBackendRequest[] {
    return this.queue.removeLate((_each, aheadMs) => aheadMs / slots, RELAY_MARGIN_MS, nowMs);
  }

  public override noteStarted(): void {
    // Without shares, no kind is ever below its minimum.
  }

  public override noteRefused(): void {
    // As above.
  }

  public override reserveReturn({ waitMs }: LoadReport): number {
    return Math.ceil(waitMs);
  }
}

/** Short requests first, then by priority, then by deadline. */
function compareByDeadline(left: QueuedWork, right: QueuedWork): number {
  if (left.isShort !== right.isShort) return left.isShort ? -1 : 1;
  return left.request.priority - right.request.priority || left.request.dueMs - right.request.dueMs;
}
