import { FaultPlan } from './FaultPlan.js';
import type { SimulatedVm } from './SimulatedVm.js';

/** Time that a process may get no processor time, in milliseconds. */
const LONGEST_STALL_MS = 3_000;

/** Time for which a daemon may be separated from the store: more than a lease lasts, in milliseconds. */
const LONGEST_CUT_MS = 16_000;

const LATE_WRITES_MS = 2_000;

/** Restarts, stalls, cuts from the store and moves of keys, one at a time. */
export class BasicFaults extends FaultPlan {
  public override readonly clockSpread: number = 0;
  public override readonly hasDemand: boolean = false;

  protected override listFaults(
    vm: SimulatedVm,
    other: SimulatedVm,
    _vms: readonly SimulatedVm[],
    evacuate: (failureDomain: string) => void,
  ): readonly (() => void)[] {
    const { random } = this;
    return [
      () => vm.release({ to: other.id, workMsPerSecond: 0, share: 0.5, speedup: 1 }),
      () => vm.release({ to: other.id, workMsPerSecond: 0, share: 0.1, speedup: 1 }),
      () => vm.stall(random.integer(LONGEST_STALL_MS)),
      () => vm.setPath('cut', random.integer(LONGEST_CUT_MS)),
      () => vm.setPath('late', LATE_WRITES_MS),
      () => vm.restartDaemon(300 + random.integer(1_500)),
      () => vm.restartServer(500 + random.integer(3_000)),
      () => vm.drainServer(2_500, 500 + random.integer(3_000)),
      () => vm.stopDaemon(300 + random.integer(1_500)),
      () => evacuate(vm.failureDomain),
    ];
  }
}
