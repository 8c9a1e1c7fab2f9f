import type { ScheduledFault } from '#load/ScheduledFault.js';
import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** SIGKILL of a daemon, of a backend server, or of both as when a VM is lost. */
export class KillAction extends FaultAction {
  public constructor(private readonly what: 'daemon' | 'backend' | 'vm') {
    super();
  }

  public override async inject(target: FaultTarget, fault: ScheduledFault): Promise<void> {
    await target.kill(findServerId(target, fault), this.what);
  }

  public override async lift(target: FaultTarget, fault: ScheduledFault): Promise<void> {
    await target.replace(findServerId(target, fault));
  }
}

function findServerId({ instances }: FaultTarget, { instance }: ScheduledFault): string {
  return instances[instance]?.serverId ?? '';
}
