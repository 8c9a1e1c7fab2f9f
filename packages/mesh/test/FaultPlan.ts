import type { RandomSource } from '#core/RandomSource.js';
import type { SimulatedVm } from './SimulatedVm.js';

/** Faults that a simulated fleet meets, and the conditions in which it runs. */
export abstract class FaultPlan {
  /** Part by which the clocks of two daemons may differ in rate. */
  public abstract readonly clockSpread: number;
  /** Whether callers ask for keys, so that these move by their load. */
  public abstract readonly hasDemand: boolean;
  protected readonly random: RandomSource;

  public constructor(random: RandomSource) {
    this.random = random;
  }

  /** Lets one fault happen. `evacuate` takes a failure domain out for some time. */
  public inject(vms: readonly SimulatedVm[], evacuate: (failureDomain: string) => void): void {
    const vm = this.random.pick(vms);
    const other = this.random.pick(vms);
    if (vm === undefined || other === undefined) return;
    this.random.pick(this.listFaults(vm, other, vms, evacuate))?.();
  }

  protected abstract listFaults(
    vm: SimulatedVm,
    other: SimulatedVm,
    vms: readonly SimulatedVm[],
    evacuate: (failureDomain: string) => void,
  ): readonly (() => void)[];
}
