import type { ScheduledFault } from '#load/ScheduledFault.js';
import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** SIGSTOP of a daemon, then SIGCONT; its backend server continues to run. */
export class FreezeAction extends FaultAction {
  public override inject(target: FaultTarget, { instance }: ScheduledFault): Promise<void> {
    target.freeze(target.instances[instance]?.serverId ?? '');
    return Promise.resolve();
  }

  public override lift(target: FaultTarget, { instance }: ScheduledFault): Promise<void> {
    target.thaw(target.instances[instance]?.serverId ?? '');
    return Promise.resolve();
  }
}
