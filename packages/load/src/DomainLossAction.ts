import type { ScheduledFault } from '#load/ScheduledFault.js';
import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** Kills all VMs of a failure domain at once. */
export class DomainLossAction extends FaultAction {
  public override async inject(target: FaultTarget, fault: ScheduledFault): Promise<void> {
    await Promise.all(listServerIds(target, fault).map((serverId) => target.kill(serverId, 'vm')));
  }

  public override async revert(target: FaultTarget, fault: ScheduledFault): Promise<void> {
    await Promise.all(listServerIds(target, fault).map((serverId) => target.replace(serverId)));
  }
}

function listServerIds({ instances }: FaultTarget, { instanceRank }: ScheduledFault): readonly string[] {
  const domain = instances[instanceRank]?.failureDomain;
  return instances.filter((each) => each.failureDomain === domain).map(({ serverId }) => serverId);
}
