import { FaultPlan } from './FaultPlan.js';
import type { SimulatedVm } from './SimulatedVm.js';

/** Longest stall of a process, in which it gets no processor time. */
const MAX_STALL_MS = 3_000;

/** Longest time for which a daemon cannot reach the store; longer than a lease. */
const MAX_CUT_MS = 16_000;

const DELAYED_WRITES_MS = 2_000;

/** Restarts, stalls, disconnections from the store and moves of keys, one at a time. */
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
      () => vm.stall(random.integer(MAX_STALL_MS)),
      () => vm.setPath('cut', random.integer(MAX_CUT_MS)),
      () => vm.setPath('late', DELAYED_WRITES_MS),
      () => vm.restartDaemon(300 + random.integer(1_500)),
      () => vm.restartServer(500 + random.integer(3_000)),
      () => vm.drainServer(2_500, 500 + random.integer(3_000)),
      () => vm.stopDaemon(300 + random.integer(1_500)),
      () => evacuate(vm.failureDomain),
    ];
  }
}
