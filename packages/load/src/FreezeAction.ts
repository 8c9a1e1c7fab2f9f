import type { Fault } from '#load/Fault.js';
import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** SIGSTOP of a daemon, then SIGCONT; its backend server continues to run. */
export class FreezeAction extends FaultAction {
  public override inject(target: FaultTarget, { instance }: Fault): Promise<void> {
    target.freeze(target.instances[instance]?.serverId ?? '');
    return Promise.resolve();
  }

  public override lift(target: FaultTarget, { instance }: Fault): Promise<void> {
    target.thaw(target.instances[instance]?.serverId ?? '');
    return Promise.resolve();
  }
}
