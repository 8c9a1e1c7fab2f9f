import { BasicFaults } from './BasicFaults.js';
import type { SimulatedVm } from './SimulatedVm.js';

/** Work that an owner is asked to release, in milliseconds per second. */
const MAX_WORK_MS_PER_SECOND = 1_500;
const MIN_WORK_MS_PER_SECOND = 200;

/** Adds the load of callers and the moves of keys that it causes, including those of hot keys to faster VMs. */
export class LoadFaults extends BasicFaults {
  public override readonly hasDemand: boolean = true;

  protected override listFaults(
    vm: SimulatedVm,
    other: SimulatedVm,
    vms: readonly SimulatedVm[],
    evacuate: (failureDomain: string) => void,
  ): readonly (() => void)[] {
    const release = (workMsPerSecond: number): void =>
      vm.release({ to: other.id, workMsPerSecond, share: 0, speedup: 1 + this.random.fraction() });
    return [
      ...super.listFaults(vm, other, vms, evacuate),
      () => release(MAX_WORK_MS_PER_SECOND),
      () => release(MIN_WORK_MS_PER_SECOND),
    ];
  }
}
