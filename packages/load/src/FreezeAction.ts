import type { ScheduledFault } from '#load/ScheduledFault.js';
import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** Pauses a daemon with SIGSTOP and resumes it with SIGCONT; its backend server keeps running. */
export class FreezeAction extends FaultAction {
  public override inject(target: FaultTarget, { instanceRank }: ScheduledFault): Promise<void> {
    target.freeze(target.instances[instanceRank]?.serverId ?? '');
    return Promise.resolve();
  }

  public override revert(target: FaultTarget, { instanceRank }: ScheduledFault): Promise<void> {
    target.unfreeze(target.instances[instanceRank]?.serverId ?? '');
    return Promise.resolve();
  }
}
