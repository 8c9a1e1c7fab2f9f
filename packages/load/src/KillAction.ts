import type { ScheduledFault } from '#load/ScheduledFault.js';
import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** Kills a daemon, a backend server, or both, as the loss of a VM does. */
export class KillAction extends FaultAction {
  public constructor(private readonly component: 'daemon' | 'backend' | 'vm') {
    super();
  }

  public override async inject(target: FaultTarget, fault: ScheduledFault): Promise<void> {
    await target.kill(findServerId(target, fault), this.component);
  }

  public override async revert(target: FaultTarget, fault: ScheduledFault): Promise<void> {
    await target.replace(findServerId(target, fault));
  }
}

function findServerId({ instances }: FaultTarget, { instanceRank }: ScheduledFault): string {
  return instances[instanceRank]?.serverId ?? '';
}
