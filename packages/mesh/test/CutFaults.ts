import { LoadFaults } from './LoadFaults.js';
import type { SimulatedVm } from './SimulatedVm.js';

/** Longest cut between a backend server and its daemon; longer than the longest grant. */
const MAX_CUT_MS = 9_000;

/** Longest time between another fault of a VM and its cut, in milliseconds. */
const MAX_LEAD_MS = 600;

/** Longest downtime of a daemon that restarts during a cut, in milliseconds. */
const MAX_DOWNTIME_MS = 1_500;

const LEAVE_MS = 2_500;

/** Adds cuts in which living backend servers refuse or drop connections while their announcements are lost or held up. */
export class CutFaults extends LoadFaults {
  public override readonly clockSpread: number = 0.02;

  protected override listFaults(
    vm: SimulatedVm,
    other: SimulatedVm,
    vms: readonly SimulatedVm[],
    evacuate: (failureDomain: string) => void,
  ): readonly (() => void)[] {
    const { random } = this;
    const cut = (target: SimulatedVm): void => target.cutOff(random.integer(MAX_CUT_MS), 'refused');
    return [
      ...super.listFaults(vm, other, vms, evacuate),
      () => cut(vm),
      () => vm.cutOff(random.integer(MAX_CUT_MS), 'silent'),
      () => {
        cut(vm);
        if (other !== vm) cut(other);
      },
      () => {
        vm.release({ to: other.id, workMsPerSecond: 0, share: 0.5, speedup: 1 });
        vm.after(random.integer(MAX_LEAD_MS), () => cut(vm));
      },
      () => {
        vm.drainServer(LEAVE_MS, LEAVE_MS);
        vm.after(random.integer(MAX_LEAD_MS), () => cut(vm));
      },
      () => {
        cut(vm);
        vm.after(random.integer(MAX_LEAD_MS), () => vm.restartDaemon(random.integer(MAX_DOWNTIME_MS)));
      },
      () => {
        cut(vm);
        vm.after(random.integer(MAX_LEAD_MS), () => vm.restartServer(random.integer(LEAVE_MS)));
      },
      () => {
        vm.setPath('late', MAX_CUT_MS);
        cut(vm);
      },
      () => vm.refuseConnections(random.integer(MAX_CUT_MS)),
      () => vm.repeatAnnouncements(),
    ];
  }
}
