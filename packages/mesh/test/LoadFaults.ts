import { BasicFaults } from './BasicFaults.js';
import type { SimulatedVm } from './SimulatedVm.js';

/** Work that an owner is asked to give away, in milliseconds a second. */
const MOST_WORK = 1_500;
const LEAST_WORK = 200;

/** Adds the load of callers and moves of keys by it, also of hot keys to faster VMs. */
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
      () => release(MOST_WORK),
      () => release(LEAST_WORK),
    ];
  }
}
